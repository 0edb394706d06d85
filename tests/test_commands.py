import json

import pytest

from .mesh_harness import POLICY, new_mesh

TEAM = ["--team", "okonkwo", "--reason", "test"]


@pytest.fixture(scope="module")
def mesh():
    with new_mesh() as mesh:
        mesh.start_log()
        mesh.start_node("n1", "east")
        mesh.wait_for(
            lambda: mesh.fleet_status("n1")["n1"]["news_age"] is not None,
            "news of the log",
        )
        mesh.run_json_command(
            "n1", "policy", "publish", "-", "--reason", "test", text=POLICY
        )
        yield mesh


def test_team_can_wait_for_its_own_change(mesh):
    """Guards against a team token that cannot read the rollout status."""
    issued = json.loads(mesh.run_command("n1", "token", "make", "--json").stdout)
    mesh.run_json_command("n1", "token", "set", *TEAM, "--digest", issued["digest"])
    arguments = ["policy", "publish", "-", "--reason", "own", "--json"]
    text = POLICY.replace("burst: 500", "burst: 400")
    done = mesh.run_command("n1", *arguments, token=issued["token"], text=text)
    assert done.returncode == 0
    assert json.loads(done.stdout)["behind"] == []
    version = str(json.loads(done.stdout)["version"] - 2)
    arguments = ["policy", "rollback", version, *TEAM]
    assert mesh.run_command("n1", *arguments, token=issued["token"]).returncode == 0


def test_rejected_key_is_reported_as_text(mesh):
    """Guards against a traceback if the account does not exist."""
    done = mesh.run_command("n1", "key", "issue", *TEAM, "--account", "nobody")
    assert done.returncode == 1
    assert done.stderr == "error: team okonkwo has no account 'nobody'\n"


def test_no_key_is_issued_if_its_file_cannot_be_written(mesh):
    """Guards against a valid key whose text was never written."""
    existing = mesh.work_dir / "taken"
    existing.touch()
    arguments = ["--account", "bibb", "--out", str(existing)]
    done = mesh.run_command("n1", "key", "issue", *TEAM, *arguments)
    assert done.returncode == 1
    assert mesh.run_json_command("n1", "key", "list", "--team", "okonkwo")["keys"] == []


@pytest.mark.parametrize(
    ("arguments", "status", "text"),
    [
        (["token", "set", *TEAM, "--digest", "zzz"], 2, "64 hexadecimal digits"),
        (["status", "--admin", "http://10.0.0.5:7003"], 2, "an address and a port"),
        (["report", "--html", "/no/such.html"], 1, "No such file"),
        (["timeline", "--request", "a", "--picture", "/no/a.svg"], 1, "No such file"),
    ],
)
def test_usage_errors_are_reported_as_text(mesh, arguments, status, text):
    """Guards against tracebacks, and against a token digest that matches no token."""
    done = mesh.run_command("n1", *arguments)
    assert done.returncode == status
    assert text in done.stderr and "Traceback" not in done.stderr


def test_invalid_policy_is_reported_as_json(mesh):
    """Guards against scripts that receive text instead of JSON."""
    arguments = ["policy", "publish", "-", "--reason", "test", "--json"]
    done = mesh.run_command("n1", *arguments, text="team: okonkwo")
    assert done.returncode == 1
    assert json.loads(done.stdout)["result"] == "invalid"
