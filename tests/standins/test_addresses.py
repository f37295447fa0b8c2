"""Test runs side by side do not draw the same addresses."""

import subprocess
import sys

from standins.addresses import FIRST_PORT, PORT_COUNT, free_addresses, host_of

DRAW = "from standins.addresses import free_addresses; print(*free_addresses(4000))"
MAX_PROCESS_ID = 2**22
MAX_TAKEN = 200


def test_processes_side_by_side_draw_no_common_address() -> None:
    """Fleets of two test runs took each other's ports while a daemon was being restarted."""
    processes = [
        subprocess.Popen([sys.executable, "-c", DRAW], stdout=subprocess.PIPE, text=True)
        for _ in range(2)
    ]
    first, second = (set(process.communicate()[0].split()) for process in processes)
    assert [process.returncode for process in processes] == [0, 0]
    assert (len(first), len(second)) == (4000, 4000)
    assert not first & second


def test_each_process_id_has_a_loopback_host_of_its_own() -> None:
    hosts = {host_of(process_id) for process_id in range(1, MAX_PROCESS_ID, 61)}
    assert len(hosts) == len(range(1, MAX_PROCESS_ID, 61))
    assert all(host.startswith("127.") for host in hosts)
    assert max(int(part) for host in hosts for part in host.split(".")) <= 255


def test_a_process_draws_all_ports_before_one_again() -> None:
    """Other tests of this process may listen at some, which are left out."""
    count = PORT_COUNT - MAX_TAKEN
    drawn = free_addresses(count // 2)
    drawn += free_addresses(count - count // 2)
    assert len(set(drawn)) == count
    ports = [int(address.rpartition(":")[2]) for address in drawn]
    assert FIRST_PORT <= min(ports) <= max(ports) < FIRST_PORT + PORT_COUNT
