"""A control machine is replaced as planned; more than 4 s after its successor has started another one
loses its disk. The operator then sends and reads configurations until well after `recoveryS`."""

import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from standins import (  # noqa: E402
    BOUNDS, BROKEN, HELD, CouldNotRun, Operator, call, configuration, is_ready, request_headers, route,
    run_case, trouble, wait_until,
)

HOST, SERVICE = "desk.example", "case-desk"
# The successor runs that long before the machine that it replaces gets SIGTERM (replace_core, planned).
SUCCESSOR_AHEAD_S = 4.0
# From the successor's start to the loss of the disk. The removed machine ceases to count catchUpS (4 s)
# after the successor's start; 3 s (seedLagS) are added.
DISK_LOSS_AFTER_S = float(os.environ.get("DISK_LOSS_AFTER_S", "7.2"))
DOWN_S = 1.0
# How long the system has once all machines are back, before the operator reads back.
SETTLE_S = BOUNDS["recoveryS"] + BOUNDS["contactMs"] / 1000 + BOUNDS["ackTimeoutMs"] / 1000 + 5
READ_BACK_S = 2 * BOUNDS["contactMs"] / 1000


def versioned(version):
    routes = [route("open", HOST, SERVICE)]
    routes += [route(f"v{number}", HOST, SERVICE) for number in range(2, version + 1)]
    return configuration(version, routes, [SERVICE])


def ask(record, front, path):
    identity, headers = request_headers(HOST)
    answer = call(front.front, "GET", path, headers=headers, timeout=5)
    record(f"client sends {path} id {identity} to {front.name}: {answer[0] if answer else 'no answer'}")


def case(record, deployment):
    zones = ["pa-hall-a", "ct-hall-b", "me-hall-c"]
    cores = [deployment.core(f"core-{zone}-1", zone) for zone in zones]
    replaced, struck, third = cores
    successor = deployment.core("core-pa-hall-a-2", "pa-hall-a")
    front = deployment.front("front-pa-hall-a-1", "pa-hall-a")
    deployment.seeds = [core.ip for core in cores]
    for zone in zones[:2]:
        deployment.leaf(SERVICE, zone)
    for machine in [*cores, front]:
        machine.start(bootstrap=True)
    operator = Operator(record)
    if operator.replace_anywhere(cores, versioned(1), 20) is None:
        raise CouldNotRun("the first configuration was not acknowledged")
    wait_until(lambda: is_ready(front), 10, "the front machine is not ready")
    ask(record, front, "/open/1")
    time.sleep(3)

    # The planned replacement: the new machine first, then SIGTERM to the old one.
    began = time.monotonic()
    serving = cores
    if trouble():
        successor.start()
    time.sleep(SUCCESSOR_AHEAD_S)
    if trouble():
        replaced.send(signal.SIGTERM)
        record(f"platform sends SIGTERM to {replaced.name}; it does not come back")
        serving = [struck, third, successor]
    time.sleep(max(0.0, began + DISK_LOSS_AFTER_S - time.monotonic()))

    # A daemon loses its disk right after it has acknowledged something.
    if not operator.replace(struck, versioned(2), timeout=5):
        raise CouldNotRun("version 2 was not acknowledged")
    if trouble():
        struck.kill()
        struck.lose_disk()
        time.sleep(DOWN_S)
        struck.start(bootstrap=False)
    record("all machines are back")

    acknowledged = operator.replace_anywhere(serving, versioned(3), SETTLE_S)
    left = SETTLE_S - (time.monotonic() - began - DISK_LOSS_AFTER_S - DOWN_S)
    if acknowledged is None and left > 0:
        time.sleep(left)
    ask(record, front, "/open/2")
    ask(record, front, "/v3/1")
    newest = 2 if acknowledged is None else 3
    read = operator.fetch_anywhere(serving, READ_BACK_S)
    record(f"version 3 acknowledged: {acknowledged is not None}; newest acknowledged: {newest}; read back: {read}")
    for machine in serving:
        status = machine.ended_by_itself()
        record(f"{machine.name} {'runs' if status is None else f'has ended with {status}'}")
    return HELD if read is not None and read >= newest else BROKEN


run_case(FOLDER, case)
