"""Child processes of the test bed: started, signalled and ended by their handles, never by name.

The kernel kills each child when its parent dies (PR_SET_PDEATHSIG), so that none is left when the test bed
itself is killed; `Supervisor` ends all of them on every other way out. A child's standard error is read here
and kept in its log, up to `MAX_LOG_BYTES`, so that a limiter whose disk refuses writes can still report.
"""

import asyncio
import contextlib
import ctypes
import os
import resource
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

MAX_LOG_BYTES = 4 << 20  # bytes of one process's standard error that are kept
MAX_LINE_BYTES = 1 << 20  # bytes of one line of a helper's answer
SHUTDOWN_TIMEOUT_S = 8.0  # how long a process may take to end by itself; then it is killed
COMMAND_TIMEOUT_S = 10.0  # how long a helper may take over one command
ROOT = Path(__file__).resolve().parents[3]  # where the package lies
PR_SET_PDEATHSIG = 1  # from <sys/prctl.h>
_LIBC = ctypes.CDLL(None, use_errno=True) if sys.platform == "linux" else None


class ProcessFailedError(RuntimeError):
    """A process did not start, or a helper did not reply; the message says which and how."""


def prepare_child() -> None:
    """Prepare a child before it executes its program.

    It dies with its parent, and gets no Ctrl-C of the terminal.
    """
    os.setsid()
    if _LIBC is not None:
        _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One child process; signals go to this very process, and to none once it has ended."""

    def __init__(
        self,
        name: str,
        args: list[str],
        log: Path,
        env: dict[str, str] | None = None,
        cwd: Path | None = None,
        piped: bool = False,
    ) -> None:
        self.name = name
        self.args = args
        self.log = log
        self.cwd = cwd
        # The children run the same program as this process, installed or not.
        path = os.pathsep.join(filter(None, (str(ROOT), os.environ.get("PYTHONPATH"))))
        self.env = {**os.environ, "PYTHONPATH": path, **(env or {})}
        self.child: asyncio.subprocess.Process | None = None
        self.is_paused = False
        self._piped = piped
        self._reading: asyncio.Task | None = None

    @property
    def pid(self) -> int:
        """The process id, 0 before the start."""
        return self.child.pid if self.child is not None else 0

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.child is not None and self.child.returncode is None

    async def start(self) -> "Process":
        """Start the process, again where it has ended."""
        pipe = asyncio.subprocess.PIPE if self._piped else asyncio.subprocess.DEVNULL
        self.child = await asyncio.create_subprocess_exec(
            *self.args,
            env=self.env,
            cwd=self.cwd,
            stdin=pipe,
            stdout=pipe,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=prepare_child,
            limit=MAX_LINE_BYTES,
        )
        self.is_paused = False
        self._reading = asyncio.create_task(self._keep(self.child.stderr))
        return self

    async def _keep(self, stderr: asyncio.StreamReader) -> None:
        with open(self.log, "ab", buffering=0) as log:
            remaining = MAX_LOG_BYTES - log.tell()
            while chunk := await stderr.read(65_536):
                log.write(chunk[: max(0, remaining)])
                remaining -= len(chunk)

    def signal(self, number: int) -> bool:
        """Send a signal; return whether the process was still alive."""
        if not self.is_running:
            return False
        with contextlib.suppress(ProcessLookupError):
            self.child.send_signal(number)
        return True

    def pause(self) -> bool:
        """Stop the process (SIGSTOP); return whether it was alive."""
        self.is_paused = self.signal(signal.SIGSTOP)
        return self.is_paused

    def resume(self) -> bool:
        """Continue the process (SIGCONT); return whether it was alive."""
        self.is_paused = False
        return self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process at once, also a stopped one."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def end(self, within_s: float = SHUTDOWN_TIMEOUT_S) -> bool:
        """Send SIGTERM, and SIGKILL after `within_s`; return whether it ended by itself."""
        if not self.is_running:
            return True
        if self.is_paused:
            self.resume()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(within_s):
                await self.child.wait()
        except TimeoutError:
            await self.kill()
            return False
        await self.wait()
        return True

    async def wait(self) -> int:
        """Wait for the exit code, and for the rest of standard error."""
        if self.child is None:
            return 0
        code = await self.child.wait()
        if self._reading is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self._reading
        return code

    def refuse_writes(self, refuse: bool) -> None:
        """Have the kernel refuse every further write to a file (RLIMIT_FSIZE), or let them through again."""
        if self.is_running:
            most = resource.prlimit(self.pid, resource.RLIMIT_FSIZE)[1]
            resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (0 if refuse else most, most))


class Helper(Process):
    """A helper process of the test bed that takes commands and replies, each a JSON line."""

    def __init__(self, name: str, module: str, log: Path) -> None:
        super().__init__(name, [sys.executable, "-m", module], log, piped=True)
        self._command_lock = asyncio.Lock()

    async def request(self, within_s: float | None = COMMAND_TIMEOUT_S, **command: Any) -> dict[str, Any]:
        """Send a command; return its reply.

        Raises:
            ProcessFailedError: The reply is an `error`, or the helper ended or took too long.
        """
        async with self._command_lock:
            if not self.is_running:
                raise ProcessFailedError(f"{self.name} has ended, see {self.log}")
            self.child.stdin.write(msgspec.json.encode(command) + b"\n")
            try:
                # Not wait_for: until Python 3.12 it forgets a cancellation that comes with the answer.
                async with asyncio.timeout(within_s):
                    line = await self.child.stdout.readline()
            except TimeoutError:
                raise ProcessFailedError(
                    f"{self.name} did not answer {command.get('do')} in {within_s:g} s"
                ) from None
            if not line:
                raise ProcessFailedError(f"{self.name} ended over {command.get('do')}, see {self.log}")
            answer = msgspec.json.decode(line)
            if "error" in answer:
                raise ProcessFailedError(f"{self.name}: {answer['error']}")
            return answer


class Supervisor:
    """Ends every process that it started when the `async with` is left, whichever way."""

    def __init__(self) -> None:
        self._processes: list[Process] = []

    async def start(self, process: Process) -> Process:
        """Start a process, to be ended with all others."""
        if process not in self._processes:
            self._processes.append(process)
        return await process.start()

    async def __aenter__(self) -> "Supervisor":
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self._processes:
            process.signal(signal.SIGKILL)
        await asyncio.shield(
            asyncio.gather(*(each.wait() for each in self._processes), return_exceptions=True)
        )


def serve_commands(handle: Callable[[Any], Awaitable[dict[str, Any] | None]]) -> None:
    """Serve a `Helper`: await `handle(command)` for each line of standard input, and print its reply.

    Ends with its input. An exception of the handler becomes the `error` of its reply.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            try:
                answer = await handle(msgspec.json.decode(line)) or {}
            except Exception as error:
                answer = {"error": f"{type(error).__name__}: {error}"}
            sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
            sys.stdout.buffer.flush()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run())


# ---- the disk of a limiter: faults on its state folder


def wipe(folder: Path) -> None:
    """Delete all files, as a loss of the disk does."""
    for path in sorted(folder.rglob("*"), reverse=True):
        path.rmdir() if path.is_dir() else path.unlink()


def truncate(folder: Path) -> None:
    """Cut the newest file in the middle, as a loss of power may."""
    if (path := _newest(folder)) is not None:
        os.truncate(path, path.stat().st_size // 2)


def flip_bit(folder: Path) -> None:
    """Flip one bit in the middle of the newest file."""
    path = _newest(folder)
    if path is None or not (size := path.stat().st_size):
        return
    with open(path, "r+b") as file:
        file.seek(size // 2)
        byte = file.read(1)[0]
        file.seek(size // 2)
        file.write(bytes([byte ^ 0x10]))


def _newest(folder: Path) -> Path | None:
    files = [path for path in folder.rglob("*") if path.is_file()]
    return max(files, key=lambda path: (path.stat().st_mtime_ns, str(path)), default=None)
