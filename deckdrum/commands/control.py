"""``deckdrumctl``: command-line tool for operators."""

import argparse
import json
import os
import sys
import uuid
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import curio

from deckdrum.callers.login import make_verifier
from deckdrum.commands.arguments import add_arguments
from deckdrum.commands.explaining import (
    LogQuery,
    print_explanation,
)
from deckdrum.commands.parsing import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_UNKNOWN,
    EXIT_USAGE,
    make_parser,
)
from deckdrum.commands.reporting import print_report
from deckdrum.configuration import Difference, compare_documents, parse_document
from deckdrum.configuration.applying import (
    ApplyOutcome,
    ApplyReport,
    ConfigurationSnapshot,
    apply_document,
    fetch_snapshot,
)
from deckdrum.outcomes.errors import (
    DocumentError,
    SettingsError,
    StoreError,
)
from deckdrum.platform.configuration import check_configuration
from deckdrum.platform.settings import (
    load_settings as load_platform_settings,
)
from deckdrum.settings import load_settings
from deckdrum.store.objects import HttpObjectStore
from deckdrum.utils import Address
from deckdrum.utils.http import HttpClient, Request

_DESCRIPTION = """\
Checks and applies configurations and shows the state of proxies."""
_SALT_BYTES: Final = 16
_CALL_TIMEOUT_S: Final = 5.0
_OK: Final = 200
_APPLY_EXITS: Final = MappingProxyType(
    {
        ApplyOutcome.ACCEPTED: EXIT_OK,
        ApplyOutcome.UNCHANGED: EXIT_OK,
        ApplyOutcome.CONFLICT: EXIT_CONFLICT,
        ApplyOutcome.UNKNOWN: EXIT_UNKNOWN,
    }
)


def print_lines(*lines: str) -> None:
    """Write lines to standard output."""
    for line in lines:
        sys.stdout.write(f'{line}\n')


async def validate(options: argparse.Namespace) -> int:
    """Check a file and summarize its contents."""
    print_lines(f'{options.file}: valid: {_CHECKS[options.kind](options.file)}')
    return EXIT_OK


def _check_document(path: Path) -> str:
    document = parse_document(path.read_text(), str(path))
    return (
        f'{len(document.groups)} groups, {len(document.users)} users, '
        f'{len(document.services)} services'
    )


def _check_settings(path: Path) -> str:
    settings = load_settings(path)
    return f'proxy {settings.name} in {settings.data_centre}'


def _check_platform(path: Path) -> str:
    settings = load_platform_settings(path).make_node_settings()
    return (
        f'node {settings.name} in {settings.data_centre}, '
        f'peers at {settings.peer_address}'
    )


def _check_configuration(path: Path) -> str:
    configuration = check_configuration(path.read_bytes())
    directory = configuration.workspaces
    workspaces = len(directory.workspaces) if directory else 'no'
    return (
        f'version {configuration.version}, {len(configuration.routes)} routes, '
        f'{len(configuration.services)} services, {workspaces} workspaces'
    )


_Check = Callable[[Path], str]
#: Checks of `validate` by kind of file.
_CHECKS: Final[Mapping[str, _Check]] = MappingProxyType(
    {
        'configuration': _check_configuration,
        'document': _check_document,
        'settings': _check_settings,
        'platform': _check_platform,
    },
)


async def diff(options: argparse.Namespace) -> int:
    """Show the changes that applying a document would make."""
    document = parse_document(options.file.read_text(), str(options.file))
    base = await _read_base(options.platform)
    if base.record is None:
        print_lines('no configuration is stored yet')
        return EXIT_OK
    before = parse_document(base.record.text)
    _print_differences(compare_documents(before, document))
    return EXIT_OK


async def apply(options: argparse.Namespace) -> int:
    """Apply a configuration document atomically."""
    text = options.file.read_text()
    parse_document(text, str(options.file))
    base = await _read_base(options.platform)
    if options.base is not None and options.base != base.number:
        print_lines(f'conflict: configuration {base.number} is stored')
        return EXIT_CONFLICT
    store = HttpObjectStore(options.platform)
    operation = options.operation or str(uuid.uuid4())
    report = await apply_document(
        store,
        text,
        base,
        options.author,
        operation,
    )
    await store.close()
    _print_apply_report(report, operation)
    return _APPLY_EXITS[report.outcome]


async def status(options: argparse.Namespace) -> int:
    """Show the state of proxies."""
    exit_code = EXIT_OK
    for address in options.admin:
        answer = await _fetch(address, 'GET', '/status')
        if answer is None:
            print_lines(f'{address}: no answer')
            exit_code = EXIT_FAILED
        elif options.json:
            print_lines(answer)
        else:
            _print_status(address, json.loads(answer))
    return exit_code


async def explain(options: argparse.Namespace) -> int:
    """Explain what happened to a service or a request, from proxies or logs."""
    if options.admin is None:
        query = LogQuery(options.request or '', options.service or '')
        found = print_explanation(
            options.logs or (), query, options.json, print_lines
        )
        return EXIT_OK if found else EXIT_FAILED
    found = False
    for address in options.admin:
        path = f'/explain?service={options.service}'
        answer = await _fetch(address, 'GET', path)
        if answer is not None:
            found = True
            _print_explanation(address, json.loads(answer))
    if not found:
        print_lines(f'no proxy asked keeps {options.service}')
    return EXIT_OK if found else EXIT_FAILED


async def report(options: argparse.Namespace) -> int:
    """Summarize the logs of nodes."""
    found = print_report(options.logs or (), options.json, print_lines)
    return EXIT_OK if found else EXIT_FAILED


async def drain(options: argparse.Namespace) -> int:
    """Start the graceful shutdown of a proxy."""
    answer = await _fetch(options.admin[0], 'POST', '/drain')
    print_lines(f'{options.admin[0]}: {answer or "no answer"}'.strip())
    return EXIT_OK if answer else EXIT_FAILED


async def password(options: argparse.Namespace) -> int:
    """Print the verifier of a password."""
    plaintext = sys.stdin.readline().rstrip('\n')
    if not plaintext:
        print_lines('the password on standard input is empty')
        return EXIT_USAGE
    print_lines(make_verifier(plaintext, os.urandom(_SALT_BYTES)))
    return EXIT_OK


async def _read_base(platform: Address) -> ConfigurationSnapshot:
    store = HttpObjectStore(platform)
    try:
        return await fetch_snapshot(store)
    finally:
        await store.close()


async def _fetch(address: Address, method: str, path: str) -> str | None:
    client = HttpClient(address)
    try:
        reply = await client.call(Request(method, path), _CALL_TIMEOUT_S)
    except ConnectionError:
        return None
    finally:
        await client.close()
    return reply.body.decode() if reply.status == _OK else None


def _print_differences(differences: Sequence[Difference]) -> None:
    if not differences:
        print_lines('nothing differs')
    for each in differences:
        before = each.before or '(absent)'
        after = each.after or '(absent)'
        print_lines(f'{each.path}: {before} -> {after}')


def _print_apply_report(report: ApplyReport, operation: str) -> None:
    print_lines(f'{report.outcome}: configuration {report.number}')
    if report.outcome is ApplyOutcome.CONFLICT:
        print_lines(f'{report.author} changed meanwhile:')
    if report.outcome is ApplyOutcome.UNKNOWN:
        print_lines(f'run again with --operation {operation}')
    _print_differences(report.differences)


def _print_status(address: Address, shown: Mapping[str, Any]) -> None:
    number = shown['configuration']['number']
    age = shown['configuration']['in_force_for']
    print_lines(
        f'{shown["name"]} ({address}, {shown["data_centre"]}): '
        f'ready {shown["ready"]}, callers {shown["callers"]}, '
        f'configuration {number} in force for {age:.1f} s',
    )
    for name, service in shown['services'].items():
        print_lines(
            f'  {name}: term {service["term"]}, primary {service["primary"]}'
        )
        for database, entry in service['databases'].items():
            state = entry['state'] or {'role': 'silent', 'applied': '?'}
            print_lines(
                f'    {database}: {state["role"]}, applied '
                f'{state["applied"]}, in use {entry["held"]}, '
                f'waiting {entry["waiting"]}',
            )


def _print_explanation(address: Address, shown: Mapping[str, Any]) -> None:
    print_lines(f'{address}:')
    for report in shown['failovers']:
        print_lines(
            f'  failover to term {report["term"]} by {report["driver"]}: '
            f'{report["lost"]} -> {report["promoted"]}, {report["reason"]}',
        )
        start = report['phases'].get('last answer', 0)
        for phase, at in report['phases'].items():
            print_lines(
                f'    {phase}: {at - start:.3f} s after the last answer'
            )
    for each in shown['decisions']:
        ago = shown['now'] - each['at']
        print_lines(
            f'  {ago:.1f} s ago, {each["group"]}: {each["outcome"]}, '
            f'{each["database"] or "no database"}, {each["reason"]}',
        )


_Command = Callable[[argparse.Namespace], Awaitable[int]]
_COMMANDS: Final[Mapping[str, _Command]] = MappingProxyType(
    {
        'validate': validate,
        'diff': diff,
        'apply': apply,
        'status': status,
        'explain': explain,
        'report': report,
        'drain': drain,
        'password': password,
    }
)


def build_parser() -> argparse.ArgumentParser:
    """Return the command line of ``deckdrumctl``."""
    parser = make_parser('deckdrumctl', _DESCRIPTION)
    commands = parser.add_subparsers(dest='command', required=True)
    for name, run_command in _COMMANDS.items():
        summary = (run_command.__doc__ or '').strip()
        command = commands.add_parser(name, help=summary, description=summary)
        add_arguments(command, name)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    options = build_parser().parse_args(arguments)
    run_command = _COMMANDS[options.command]
    try:
        exit_code: int = curio.run(run_command, options)
    except (DocumentError, SettingsError, OSError) as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE
    except StoreError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_UNKNOWN
    return exit_code
