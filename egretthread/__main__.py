"""Runs the command line by `python -m egretthread`."""

from egretthread import cmdline

if __name__ == "__main__":
    cmdline.main()
