"""Runs the benchmarks: `python -m egretthread_bench`."""

from egretthread_bench import cmdline

cmdline.main()
