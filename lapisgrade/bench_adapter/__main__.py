"""python -m lapisgrade.bench_adapter: the wire on standard input and output."""

import gc
import sys
from typing import TextIO

from lapisgrade.bench_adapter.host import Host
from lapisgrade.bench_adapter.wire import parse, read_endpoint
from lapisgrade.settings import MalformedInputError


def serve(source: TextIO, sink: TextIO) -> None:
    """Read batches and write a reply to each, until the input ends."""
    host = Host()
    number = 0
    rows_left = 0
    rows: list = []
    pool = 0
    inside = False
    for number, raw in enumerate(source, 1):
        line = raw.rstrip("\r\n")
        try:
            if not line:
                continue
            name, fields = parse(line)
            if rows_left:
                if name != "ROW":
                    raise MalformedInputError(f"{rows_left} more ROW lines were due")
                rows.append(read_endpoint(fields))
                rows_left -= 1
                if not rows_left:
                    host.pool(pool, rows)
            elif name == "MARK":
                if inside:
                    raise MalformedInputError("MARK inside a batch")
                host.clock(fields)
                inside = True
            elif not inside:
                raise MalformedInputError(f"{name} outside a batch")
            elif name == "YOUR_TURN":
                inside = False
                host.lines.append("EOR\n")
                sink.write("\n".join(host.lines))
                sink.flush()
                host.lines.clear()
            elif name == "POOL":
                pool, rows_left, rows = fields.integer("Buffer"), fields.integer("Entries"), []
                if not rows_left:
                    host.pool(pool, rows)
            else:
                host.event(name, fields)
        except MalformedInputError as wrong:
            raise MalformedInputError(f"line {number}: {wrong}: {line[:200]!r}") from None
    if inside:
        raise MalformedInputError(f"line {number}: the input ends inside a batch")


def main() -> int:
    gc.freeze()
    try:
        sys.stdin.reconfigure(encoding="utf-8", newline="\n")
        sys.stdout.reconfigure(encoding="utf-8", newline="\n")
        serve(sys.stdin, sys.stdout)
    except MalformedInputError as wrong:
        print(wrong, file=sys.stderr)
        return 2
    except UnicodeDecodeError as wrong:
        print(f"the input is not UTF-8: {wrong}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
