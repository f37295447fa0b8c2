"""Builds the one-file program ``dist/kingcuppond``.

PyInstaller gathers the interpreter and all modules in a folder; the folder is appended to a small
launcher in C.  PyInstaller's own one-file mode is not used, since its program starts a child of
itself.
"""

import struct
import subprocess
import sys
from hashlib import blake2b
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parents[1]
BUILD: Final = ROOT / "build"
DIST: Final = ROOT / "dist"
LEFT_OUT: Final = ("tkinter", "numpy", "PIL", "matplotlib", "setuptools", "rich", "pygments")
MAGIC: Final = 0x31444E4F50435043


def gather() -> Path:
    """Gather the program's files in a folder."""
    options = ["--noconfirm", "--onedir", "--name", "kingcuppond", "--log-level", "ERROR"]
    paths = ["--distpath", str(BUILD / "folder"), "--workpath", str(BUILD / "work")]
    hidden = ["--collect-submodules", "kingcuppond", "--strip"]
    hidden += [word for name in LEFT_OUT for word in ("--exclude-module", name)]
    entry = str(ROOT / "kingcuppond" / "__main__.py")
    command = [sys.executable, "-m", "PyInstaller", *options, *paths, *hidden]
    subprocess.run([*command, "--specpath", str(BUILD), entry], check=True, cwd=ROOT)
    return BUILD / "folder" / "kingcuppond"


def pack(folder: Path) -> bytes:
    """Return the records of all files of a folder."""
    parts = []
    for path in sorted(path for path in folder.rglob("*") if path.is_file()):
        name = str(path.relative_to(folder)).encode()
        content = path.read_bytes()
        mode = path.stat().st_mode & 0o755
        parts.append(struct.pack("<QQQ", len(name), mode, len(content)) + name + content)
    return b"".join(parts)


def main() -> None:
    """Build the program."""
    BUILD.mkdir(exist_ok=True)
    DIST.mkdir(exist_ok=True)
    launcher = BUILD / "launcher"
    source = ROOT / "packaging" / "launcher.c"
    flags = ["-O2", "-Wall", "-Wextra", "-Werror", "-Wno-format-truncation"]
    subprocess.run(["gcc", *flags, "-o", launcher, source], check=True)
    records = pack(gather())
    head = launcher.read_bytes()
    digest = int.from_bytes(blake2b(records, digest_size=8).digest(), "little")
    program = DIST / "kingcuppond"
    program.write_bytes(head + records + struct.pack("<QQQ", len(head), digest, MAGIC))
    program.chmod(0o755)
    print(f"{program}: {program.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
