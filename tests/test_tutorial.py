"""The commands of the tutorial work as written, except for the port numbers."""

import re
import shlex
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from fakes.launcher import ROOT, child_environment, is_listening, wait_until
from fakes.ports import free_address

TUTORIAL = (ROOT / "docs" / "TUTORIAL.md").read_text()


class Shell:
    """Runs the commands of the tutorial with free ports."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.background: list[subprocess.Popen[bytes]] = []
        self._ports: dict[str, str] = {}

    def replace_addresses(self, text: str) -> str:
        """Return ``text`` with each address replaced by a free one."""

        def replace(match: re.Match[str]) -> str:
            return self._ports.setdefault(match[0], free_address())

        return re.sub(r"127\.0\.0\.1:\d+", replace, text)

    def run(self, command: str) -> str:
        """Run a command, in the background if it ends with ``&``."""
        words = shlex.split(self.replace_addresses(command))
        words[0] = sys.executable if words[0] == "python" else words[0]
        env = child_environment()
        if words[-1] == "&":
            child = subprocess.Popen(words[:-1], cwd=self.folder, env=env)
            self.background.append(child)
            return ""
        done = subprocess.run(
            words, cwd=self.folder, env=env, capture_output=True, text=True, check=True
        )
        return done.stdout

    def close(self) -> None:
        """Kill all background processes."""
        for child in self.background:
            child.kill()
            child.wait()


@pytest.fixture
def shell(tmp_path: Path) -> Iterator[Shell]:
    shell = Shell(tmp_path)
    yield shell
    shell.close()


def commands() -> list[str]:
    """Return the commands of the tutorial in order."""
    return re.findall(r"^ {7}((?:python|curl) .*)$", TUTORIAL, re.MULTILINE)


def files() -> dict[str, str]:
    """Return the files of the tutorial by name."""
    pattern = r"`(\w+\.yaml)`[^`]*(?:`secret`:)?\s+```yaml\n(.*?)   ```"
    found = re.findall(pattern, TUTORIAL, re.DOTALL)
    return {name: re.sub(r"^   ", "", text, flags=re.MULTILINE) for name, text in found}


def request(shell: Shell, command: str) -> bytes:
    """Send the request of a curl command; return the response body."""
    words = shlex.split(shell.replace_addresses(command))[1:]
    method, url, body, headers = "GET", "", b"", {}
    rest = iter(words)
    for word in rest:
        if word == "-X":
            method = next(rest)
        elif word == "-H":
            name, _, value = next(rest).partition(": ")
            headers[name] = value
        elif word == "-d":
            body = next(rest).encode()
            method = "POST" if method == "GET" else method
        elif not word.startswith("-"):
            url = word
    response = urllib3.request(method, f"http://{url}", body=body, headers=headers)
    assert response.status == 200, response.data
    return response.data


def test_tutorial(shell: Shell) -> None:
    written = files()
    assert set(written) == {"fleet.yaml", "target.yaml", "entry.yaml"}
    for name, text in written.items():
        (shell.folder / name).write_text(shell.replace_addresses(text))
    outputs = {}
    for command in commands():
        if command.startswith("curl"):
            if "generate" in command:
                ready = shell.replace_addresses("http://127.0.0.1:8080/readyz")
                wait_until(lambda: urllib3.request("GET", ready).status == 200, "ready")  # noqa: B023
            outputs[command] = request(shell, command).decode()
        else:
            outputs[command] = shell.run(command)
        if command.endswith("&"):
            address = {"platform": "9000", "engine": "9201", "target": "9101", "entry": "8081"}
            port = next(p for word, p in address.items() if word in command)
            wait_until(lambda: is_listening(shell.replace_addresses(f"127.0.0.1:{port}")), command)  # noqa: B023
    text = "\n".join(outputs.values())
    assert "accepted: generation 1" in text
    assert '"done": true' in text
    assert "nothing is wrong" in text
    assert "submission of fleet 0 -> 1 accepted: fleet.yaml" in text
