Feature: Hosts keep their guarantees under random faults
  Real hosts run on the stand-in for the users' platform. They are paused, stopped, killed and
  restarted, a proxy disturbs their connections to the store and to the upstreams and holds back
  what they send to each other, and upstreams and the log misbehave. `make soak SEED=... SECONDS=...` runs longer.

  Scenario: A short soak under a fixed seed finds nothing
    When the soak runs with seed 20404 for 20 s
    Then the soak reports runs checked and 0 violations

  # Seeds that failed once, each with its cause:
  # 11: SIGHUP terminated a host that had just been restarted and had no handler yet.
  # 33: an exception ended the stand-in; decisions.feature covers a host that the exception ends.
  Scenario Outline: A seed that failed stays clean
    When the soak runs with seed <seed> for 20 s
    Then the soak reports runs checked and 0 violations

    Examples:
      | seed |
      | 11   |
      | 33   |
