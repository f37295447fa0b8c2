"""The launcher of the one-file program replaces itself by the program, without a child process."""

import os
import struct
import subprocess
from pathlib import Path

from packaging_build import MAGIC, pack

ROOT = Path(__file__).parents[2]
PROGRAM = """
#include <stdio.h>
#include <unistd.h>
int main(int argc, char **argv) { printf("%d %d %s", (int)getpid(), argc, argv[1]); return 7; }
"""


def build(folder: Path) -> Path:
    payload = folder / "payload"
    payload.mkdir()
    (payload / "below").mkdir()
    (payload / "below" / "data").write_bytes(b"x" * 200_000)
    source = folder / "program.c"
    source.write_text(PROGRAM)
    subprocess.run(["gcc", "-o", payload / "kingcuppond", source], check=True)
    launcher = folder / "launcher"
    subprocess.run(["gcc", "-o", launcher, ROOT / "packaging" / "launcher.c"], check=True)
    head = launcher.read_bytes()
    packed = folder / "packed"
    packed.write_bytes(head + pack(payload) + struct.pack("<QQQ", len(head), 5, MAGIC))
    packed.chmod(0o755)
    return packed


def start(program: Path, run_folder: Path) -> tuple[subprocess.Popen[str], str, str]:
    process = subprocess.Popen(
        [program, "argument"],
        env={**os.environ, "KINGCUPPOND_RUN_DIR": str(run_folder)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    out, err = process.communicate(timeout=20)
    return process, out, err


def test_program_runs_in_the_launchers_process(tmp_path: Path) -> None:
    program = build(tmp_path)
    run_folder = tmp_path / "run"
    run_folder.mkdir()
    for _ in range(2):
        process, out, _ = start(program, run_folder)
        assert process.returncode == 7
        assert out == f"{process.pid} 2 argument"
    (unpacked,) = run_folder.iterdir()
    assert (unpacked / "below" / "data").stat().st_size == 200_000


def test_damaged_file_is_refused(tmp_path: Path) -> None:
    program = build(tmp_path)
    program.write_bytes(program.read_bytes()[:-10])
    process, _, err = start(program, tmp_path)
    assert process.returncode == 2
    assert "damaged file" in err


def test_folder_writable_by_others_is_refused(tmp_path: Path) -> None:
    program = build(tmp_path)
    start(program, tmp_path)
    (folder,) = tmp_path.glob("kingcuppond-*")
    folder.chmod(0o777)
    process, _, err = start(program, tmp_path)
    assert process.returncode == 2
    assert str(folder) in err
