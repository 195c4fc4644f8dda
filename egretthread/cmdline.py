"""The program `egretthread`: the command line of operators and callers."""

import importlib
import importlib.util

import typer
import typer.core
import typer.main

from egretthread import commands, console


class LazyGroup(typer.core.TyperGroup):
    """Imports a group of commands when it is first used."""

    def list_commands(self, ctx):
        """Returns the names of the groups whose modules are installed."""
        del ctx
        return [name for name in commands.GROUPS if is_installed(name)]

    def get_command(self, ctx, cmd_name):
        """Returns a group of commands, or None if there is none."""
        del ctx
        if cmd_name not in self.commands and is_installed(cmd_name):
            module = importlib.import_module(commands.GROUPS[cmd_name])
            self.commands[cmd_name] = typer.main.get_group(module.app)
            self.commands[cmd_name].name = cmd_name
        return self.commands.get(cmd_name)


def is_installed(name: str) -> bool:
    """Returns whether there is a group of this name with a module."""
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
    help="Drives the egretthread dispatcher.",
    epilog=console.EXIT_CODES_HELP,
)


@app.callback()
def group() -> None:
    """Drives the egretthread dispatcher."""


def main() -> None:
    """Runs the command line."""
    app(prog_name="egretthread")
