Feature: A team's limit holds over all daemons together

  # Guards against shares that add up to more than the limit, leave it unused, or block a daemon
  # permanently.
  Scenario Outline: The daemons that want more share the limit
    Given quota daemons that hold and want "<claims>"
    Then their quota shares of a limit of <limit> are "<shares>"

    Examples:
      | limit | claims             | shares |
      | 10    | 0/10, 0/0, 0/0     | 10,0,0 |
      | 10    | 0/10, 0/10, 0/10   | 4,3,3 |
      | 10    | 0/2, 0/10, 0/5     | 2,4,4 |
      | 10    | 10/10, 0/10, 0/0   | 5,0,0 |
      | 10    | 7/10, 0/10, 0/10   | 4,2,1 |

  # Guards against an order of reports, loads and run times in which the sum exceeds the bound.
  Scenario: The sum over quota daemons keeps to the bound in any history
    Then in any simulation of 4 quota daemons use stays within the limit plus the guaranteed slots of 3
    And in any simulation where every quota daemon wants the whole limit, use settles at the limit

  # Guards against a team without competition that can't use its whole limit through one daemon, and
  # against slots that stay reserved for a lost daemon.
  Scenario: A team alone uses its whole limit through one daemon
    Given 3 quota daemons whose team has a limit of 9
    When quota daemon 1 wants 20 slots and reports are exchanged
    Then quota daemon 1 may use 9 slots
    When quota daemon 2 wants 20 slots and reports are exchanged
    Then quota daemon 1 may use 5 slots
    And quota daemon 2 may use 4 slots
    When quota daemon 1 is lost and reports are exchanged
    Then quota daemon 2 may use 9 slots

  # Guards against a link that breaks when one end does not support quota reports.
  Scenario: Daemons of the earlier version read heartbeats with a quota report, and send none
    Then the earlier version reads a heartbeat with a quota report, and this version one without

  # Guards against a limit that each daemon applies on its own, or that takes slots from other teams.
  # 10 is the limit plus the guaranteed slots of two daemons: 6 + 2 x 6/3.
  Scenario: A limit holds over the workers of three daemons
    Given a deployment of three daemons whose team "small" may use 6 of 24 slots
    When jobs of teams "small" and "big" enter all daemons at the same time
    Then starts of "small" stay within 10 slots, and within 6 in the second half, when daemons have exchanged reports
    And starts of "small" reach 6 slots and those of "big" 18 at the same time
    When a job of team "small" enters daemon "d2" alone
    Then starts of "small-alone" reach 6 slots
