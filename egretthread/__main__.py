"""Runs the command line for `python -m egretthread`."""

from egretthread import cmdline

if __name__ == "__main__":
    cmdline.main()
