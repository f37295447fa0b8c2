"""Builds the single-file executable ``dist/kingcuppond``.

PyInstaller collects the interpreter and all modules in a folder, which is appended to a small
launcher written in C.  PyInstaller's own one-file mode is not used, since its program runs as a
child process of its launcher.
"""

import struct
import subprocess
import sys
from hashlib import blake2b
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parents[1]
BUILD_FOLDER: Final = ROOT / "build"
DIST_FOLDER: Final = ROOT / "dist"
EXCLUDED_MODULES: Final = (
    "tkinter",
    "numpy",
    "PIL",
    "matplotlib",
    "setuptools",
    "rich",
    "pygments",
)
MAGIC: Final = 0x31444E4F50435043


def collect_program() -> Path:
    """Run PyInstaller.

    :return: folder with the files of the program
    """
    options = ["--noconfirm", "--onedir", "--name", "kingcuppond", "--log-level", "ERROR"]
    paths = ["--distpath", str(BUILD_FOLDER / "folder"), "--workpath", str(BUILD_FOLDER / "work")]
    module_options = ["--collect-submodules", "kingcuppond", "--strip"]
    module_options += [option for name in EXCLUDED_MODULES for option in ("--exclude-module", name)]
    entry = str(ROOT / "kingcuppond" / "__main__.py")
    command = [sys.executable, "-m", "PyInstaller", *options, *paths, *module_options]
    subprocess.run([*command, "--specpath", str(BUILD_FOLDER), entry], check=True, cwd=ROOT)
    return BUILD_FOLDER / "folder" / "kingcuppond"


def pack(folder: Path) -> bytes:
    """Encode all files of a folder as the records that ``launcher.c`` unpacks."""
    parts = []
    for path in sorted(path for path in folder.rglob("*") if path.is_file()):
        name = str(path.relative_to(folder)).encode()
        content = path.read_bytes()
        mode = path.stat().st_mode & 0o755
        parts.append(struct.pack("<QQQ", len(name), mode, len(content)) + name + content)
    return b"".join(parts)


def main() -> None:
    """Compile the launcher, collect the program and write the executable."""
    BUILD_FOLDER.mkdir(exist_ok=True)
    DIST_FOLDER.mkdir(exist_ok=True)
    launcher = BUILD_FOLDER / "launcher"
    source = ROOT / "packaging" / "launcher.c"
    flags = ["-O2", "-Wall", "-Wextra", "-Werror", "-Wno-format-truncation"]
    subprocess.run(["gcc", *flags, "-o", launcher, source], check=True)
    records = pack(collect_program())
    head = launcher.read_bytes()
    digest = int.from_bytes(blake2b(records, digest_size=8).digest(), "little")
    program = DIST_FOLDER / "kingcuppond"
    program.write_bytes(head + records + struct.pack("<QQQ", len(head), digest, MAGIC))
    program.chmod(0o755)
    print(f"{program}: {program.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
