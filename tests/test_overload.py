from bench.cases import CASES, MESHES
from bench.model import CONTROLLED, NAIVE
from bench.overload import CaseRun

SEED = 7
CASE_BY_NAME = {case.name: case for case in CASES}


def run(mesh, name, policy):
    return CaseRun(MESHES[mesh], CASE_BY_NAME[name], policy, SEED).run()


def test_surge_keeps_goodput_and_important_requests():
    """Guards against overload control that misses the stated goals in a surge."""
    name = "surge to 3 times capacity, large accounts"
    result = run("silt-sable", name, CONTROLLED)
    assert result.goodput >= 0.9
    assert result.recovery_seconds <= 5.0
    assert result.worst_account_share >= 0.95
    assert result.critical_answered_share >= 0.99
    naive = run("silt-sable", name, NAIVE)
    assert naive.critical_answered_share < 0.6
    assert naive.worst_account_share < 0.6


def test_hard_retries_do_not_collapse_a_slow_deep_service():
    """Guards against goodput lost to work for callers that have given up."""
    name = "deep service slow, callers retry hard"
    result = run("silt-sable", name, CONTROLLED)
    assert result.goodput >= 0.85
    assert result.recovery_seconds <= 5.0
    assert result.critical_answered_share >= 0.95
    assert run("silt-sable", name, NAIVE).goodput < 0.75


def test_account_above_its_rate_does_not_affect_others():
    """Guards against wrongful refusals while one account sends 5 times its rate."""
    result = run("okonkwo", "one tenant at 5 times its rate", CONTROLLED)
    assert result.wrongful_refusal_share < 0.05
    assert result.worst_account_share >= 0.95


def test_run_is_reproducible():
    """Guards against results that the stated seed does not reproduce."""
    name = "loss of a failure domain"
    results = [run("silt-sable", name, CONTROLLED) for _ in range(2)]
    assert results[0] == results[1]
