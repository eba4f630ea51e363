"""Test log lines that a reader does not read in time."""

import logging
import os

from samphirelug.helpers import log_output


def test_logging_resumes_when_the_reader_reads_again() -> None:
    """Guard against lines that are not written once a pipe was full."""
    reader, writer = os.pipe()
    handler = log_output.NonBlockingHandler(descriptor=writer)
    record = logging.makeLogRecord({"msg": "x" * 1000})
    while not handler.lost_lines:
        handler.emit(record)
    read = b""
    os.set_blocking(reader, False)
    for _ in range(100):
        try:
            read += os.read(reader, 1 << 20)
        except BlockingIOError:
            break
        handler.flush()
    for number in range(3):
        handler.emit(logging.makeLogRecord({"msg": f"again {number}"}))
    read += os.read(reader, 1 << 20)
    assert b"again 2\n" in read
    os.close(reader)
    os.close(writer)


def test_lines_are_written_once_a_full_buffer_can_be_written() -> None:
    """Guard against a full buffer that is only emptied by a flush."""
    reader, writer = os.pipe()
    handler = log_output.NonBlockingHandler(descriptor=writer)
    record = logging.makeLogRecord({"msg": "x" * 1000})
    while not handler.lost_lines:
        handler.emit(record)
    lost_lines = handler.lost_lines
    os.read(reader, 1 << 20)
    handler.emit(record)
    assert handler.lost_lines == lost_lines
    os.close(reader)
    os.close(writer)
