"""`python -m lapisgrade.bench_adapter`: reads batches from standard input, replies on standard output.

A batch consists of MARK with the time, messages, and YOUR_TURN, which requests the reply. The reply consists
of the limiters' messages and EOR. POOL announces an endpoint list, whose ROWs follow. Exit codes: 0 at the
end of the input, 1 if the output was closed, 2 for malformed input, with one line on standard error.
"""

import gc
import io
import sys
from typing import TextIO

from lapisgrade.bench_adapter.bench import Bench
from lapisgrade.bench_adapter.wire import parse_message, read_endpoint
from lapisgrade.interface import ServerEndpoint
from lapisgrade.settings import Fields, MalformedInputError

MAX_QUOTED_CHARACTERS = 200  # maximum length of a malformed line in an error message


class BatchReader:
    """Reads batches line by line and writes a reply to each."""

    def __init__(self, sink: TextIO) -> None:
        """Create a reader whose replies go to `sink`."""
        self._bench = Bench()
        self._sink = sink
        self.is_in_batch = False
        self._endpoints: list[ServerEndpoint] = []  # rows of the list being read
        self._endpoint_list_number = 0
        self._rows_left = 0  # rows still to be read

    def read_line(self, line: str) -> None:
        """Process one line, without its line end.

        Raises:
            MalformedInputError: The line is malformed or not expected here.
        """
        name, fields = parse_message(line)
        if self._rows_left:
            self._read_row(name, fields)
        elif name == "MARK":
            if self.is_in_batch:
                raise MalformedInputError("MARK inside a batch: YOUR_TURN is missing")
            self._bench.advance(fields)
            self.is_in_batch = True
        elif not self.is_in_batch:
            raise MalformedInputError(f"{name} outside a batch: MARK is missing")
        elif name == "YOUR_TURN":
            self.is_in_batch = False
            self._reply()
        elif name == "POOL":
            self._start_endpoints(fields)
        else:
            self._bench.handle(name, fields)

    def _start_endpoints(self, fields: Fields) -> None:
        self._endpoint_list_number = fields.integer("Buffer")
        self._rows_left = fields.integer("Entries")
        self._endpoints = []
        if not self._rows_left:
            self._bench.set_endpoints(self._endpoint_list_number, self._endpoints)

    def _read_row(self, name: str, fields: Fields) -> None:
        if name != "ROW":
            raise MalformedInputError(f"{self._rows_left} more ROW lines expected")
        self._endpoints.append(read_endpoint(fields))
        self._rows_left -= 1
        if not self._rows_left:
            self._bench.set_endpoints(self._endpoint_list_number, self._endpoints)

    def _reply(self) -> None:
        output_lines = self._bench.output_lines
        output_lines.append("EOR\n")
        self._sink.write("\n".join(output_lines))
        self._sink.flush()
        output_lines.clear()


def serve(source: TextIO, sink: TextIO) -> None:
    """Read batches and write a reply to each until the input ends.

    Raises:
        MalformedInputError: A line is malformed; the message states its number and the reason.
    """
    reader = BatchReader(sink)
    line_number = 0
    for line_number, raw in enumerate(source, 1):
        line = raw.rstrip("\r\n")
        if not line:
            continue
        try:
            reader.read_line(line)
        except MalformedInputError as error:
            raise MalformedInputError(
                f"line {line_number}: {error}: {line[:MAX_QUOTED_CHARACTERS]!r}"
            ) from None
    if reader.is_in_batch:
        raise MalformedInputError(f"line {line_number}: input ends inside a batch")


def main() -> int:
    """Serve on standard input and output; returns the exit code."""
    gc.freeze()
    try:
        for stream in (sys.stdin, sys.stdout):
            if isinstance(stream, io.TextIOWrapper):
                stream.reconfigure(encoding="utf-8", newline="\n")
        serve(sys.stdin, sys.stdout)
    except MalformedInputError as error:
        print(error, file=sys.stderr)
        return 2
    except UnicodeDecodeError as error:
        print(f"input is not UTF-8: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
