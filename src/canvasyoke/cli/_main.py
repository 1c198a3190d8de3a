"""Command dispatch and argument parsing.

Fire accepts unexpected arguments and converts values to Python objects. Arguments are therefore
checked against the signature of the command first, and passed as strings. Long-running roles are
started without importing fire, to save memory.
"""

from __future__ import annotations

import inspect
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from canvasyoke.cli import _operator, _roles  # noqa: F401  (register commands)
from canvasyoke.cli._registry import COMMANDS, DAEMONS, USAGE, Command


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command in ``argv`` (default: ``sys.argv``) and return its exit code.

    The exit code is 0 on success, 1 if the command was refused or failed, and 2 on usage errors.
    """
    arguments = list(sys.argv[1:] if argv is None else argv)
    if not arguments or arguments[0] in ("-h", "--help", "help"):
        print(_format_overview())
        return 0 if arguments else USAGE
    name, rest = arguments[0], arguments[1:]
    if name not in COMMANDS.names():
        return _usage_error(f"unknown command {name!r}; see canvasyoke --help")
    command = COMMANDS.get(name)
    if any(argument in ("-h", "--help") for argument in rest):
        print(_format_help(name, command))
        return 0
    bound = _bind_arguments(command, rest)
    if isinstance(bound, str):
        return _usage_error(f"{bound}; see canvasyoke {name} --help")
    if name in DAEMONS:
        return command(*bound.positional, **bound.options)
    return _run_with_fire(command, bound)


@dataclass(slots=True)
class _BoundArguments:
    """Parsed arguments that match the signature of a command."""

    positional: list[str] = field(default_factory=list)
    options: dict[str, str] = field(default_factory=dict)

    def to_argv(self) -> list[str]:
        """Return the arguments as a command line, options last."""
        words = list(self.positional)
        for name, value in self.options.items():
            words.append(f"--{name}={value}")
        return words


def _run_with_fire(command: Command, bound: _BoundArguments) -> int:
    import fire
    from fire.decorators import SetParseFn

    results: list[int] = []

    def run(*args: str, **options: str) -> None:
        results.append(command(*args, **options))

    fire.Fire(SetParseFn(str)(run), command=bound.to_argv(), name="canvasyoke")
    return results[0]


def _bind_arguments(command: Command, words: Sequence[str]) -> _BoundArguments | str:
    """Parse ``words`` for ``command``; return an error message if they are invalid."""
    parameters = inspect.signature(command).parameters.values()
    options = {p.name: p for p in parameters if p.kind is p.KEYWORD_ONLY}
    accepts_files = any(p.kind is p.VAR_POSITIONAL for p in parameters)
    bound = _BoundArguments()
    rest = iter(words)
    for word in rest:
        if not word.startswith("-") or word == "-":
            bound.positional.append(word)
            continue
        name, equals, value = word.lstrip("-").partition("=")
        name = name.replace("-", "_")
        if name not in options or not word.startswith("--"):
            return f"unknown option {word}"
        if name in bound.options:
            return f"option --{name} is given more than once"
        if not equals:
            next_argument = next(rest, None)
            if next_argument is None or next_argument.startswith("--"):
                return f"option --{name} needs a value"
            value = next_argument
        bound.options[name] = value
    if bound.positional and not accepts_files:
        return f"unexpected argument {bound.positional[0]!r}"
    if accepts_files and not bound.positional:
        return "at least one FILE is required"
    for name, parameter in options.items():
        if parameter.default is parameter.empty and name not in bound.options:
            return f"option --{name} is required"
    return bound


def _format_overview() -> str:
    lines = ["canvasyoke: a load balancer for expert-parallel model groups", "", "Commands:"]
    for name in COMMANDS.names():
        summary = (COMMANDS.get(name).__doc__ or "").strip().splitlines()[0]
        lines.append(f"  {name:<12}{summary}")
    lines += ["", "Details: canvasyoke COMMAND --help. Exit codes: 0 done, 1 refused, 2 usage."]
    return "\n".join(lines)


def _format_help(name: str, command: Callable[..., int]) -> str:
    parameters = inspect.signature(command).parameters.values()
    words = [f"canvasyoke {name}"]
    for parameter in parameters:
        if parameter.kind is parameter.VAR_POSITIONAL:
            words.append("FILE...")
        elif parameter.default is parameter.empty:
            words.append(f"--{parameter.name} VALUE")
        else:
            words.append(f"[--{parameter.name} VALUE]")
    return f"usage: {' '.join(words)}\n\n{inspect.getdoc(command)}"


def _usage_error(text: str) -> int:
    print(f"canvasyoke: {text}", file=sys.stderr)
    return USAGE
