"""Logs of bounded volume that never block on their reader."""

import json
import os

import pytest

from pistachioshed.adapters import jsonlog


def test_lines_beyond_the_burst_are_dropped_and_counted() -> None:
    """Guard against logging that takes processor time from packets."""
    reader, writer = os.pipe()
    stream = jsonlog.BoundedStream(writer, lines_per_s=0.001, burst=3)
    for number in range(10):
        stream.write(f'{{"n": {number}}}\n')
    os.close(writer)
    with os.fdopen(reader) as lines:
        assert len(lines.readlines()) == 3
    assert stream.dropped == 7


def test_a_full_pipe_does_not_block(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a process that blocks because its logs are not read."""
    reader, writer = os.pipe()
    stream = jsonlog.BoundedStream(writer, lines_per_s=1e6, burst=1e6)
    line = '{"text": "' + "x" * 1000 + '"}\n'
    for _ in range(1000):
        stream.write(line)
    assert stream.dropped > 0
    before = stream.dropped
    os.set_blocking(reader, False)
    os.read(reader, 1_000_000)
    stream.write('{"text": "after"}\n')
    rest = os.read(reader, 1_000_000).decode().splitlines()
    assert json.loads(rest[-2]) == {"event": "lines dropped", "count": before}
    assert json.loads(rest[-1]) == {"text": "after"}
    os.close(reader)
    os.close(writer)


def test_partially_written_line_does_not_corrupt_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a truncated line that is joined with the next line."""
    reader, writer = os.pipe()
    stream = jsonlog.BoundedStream(writer)
    write = os.write
    monkeypatch.setattr(os, "write", lambda to, data: write(to, data[:5]))
    stream.write('{"text": "first"}\n')
    monkeypatch.undo()
    stream.write('{"text": "second"}\n')
    os.close(writer)
    with os.fdopen(reader) as lines:
        assert json.loads(lines.readlines()[-1]) == {"text": "second"}
    assert stream.dropped == 1
