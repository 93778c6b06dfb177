"""Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
import asyncio
import os
import resource
import signal
import sys
import traceback

from deployment import Record, Site


def stop(*_):
    raise SystemExit(2)


def run_case(folder, play):
    signal.signal(signal.SIGTERM, stop)
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    record = Record(os.path.join(folder, sys.argv[1] if len(sys.argv) > 1 else "record.txt"))
    site = Site(record)
    code = 2
    try:
        code = asyncio.run(play(record, site))
    except Exception:  # anything unforeseen says nothing of the rule
        traceback.print_exc()
    finally:
        site.stop()
        record.close()
    sys.exit(code)
