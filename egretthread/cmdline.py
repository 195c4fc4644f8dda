"""The program `egretthread`: the command line for operators and callers."""

import importlib
import importlib.util

import typer
import typer.core
import typer.main

from egretthread import commands, console


class LazyGroup(typer.core.TyperGroup):
    """A group of commands whose modules are imported on first use."""

    def list_commands(self, ctx):
        """Returns the names of the groups whose modules are installed."""
        del ctx
        return [name for name in commands.GROUPS if is_installed(name)]

    def get_command(self, ctx, cmd_name):
        """Returns the group of commands of a name, or None."""
        del ctx
        if cmd_name not in self.commands and is_installed(cmd_name):
            module = importlib.import_module(commands.GROUPS[cmd_name])
            self.commands[cmd_name] = typer.main.get_group(module.app)
            self.commands[cmd_name].name = cmd_name
        return self.commands.get(cmd_name)


def is_installed(name: str) -> bool:
    """Whether a group of this name exists and can be imported."""
    if name not in commands.GROUPS:
        return False
    try:
        return importlib.util.find_spec(commands.GROUPS[name]) is not None
    except ModuleNotFoundError:
        return False


app = typer.Typer(
    cls=LazyGroup,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Operates the egretthread dispatcher.",
    epilog=console.EXIT_CODES_HELP,
)


@app.callback()
def group() -> None:
    """Operates the egretthread dispatcher."""


def main() -> None:
    """Runs the command line."""
    app(prog_name="egretthread")
