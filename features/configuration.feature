Feature: Tables come into force on every daemon and never revert
  The "tables in force" events of every daemon are checked against the order of the log: no daemon
  goes back to an older revision, not even after a restart.

  Scenario: Every daemon follows the log despite broken links, damaged records and restarts
    Given a configured deployment of 3 daemons
    When the tables are published 3 times
    Then the last tables are in force on d1, d2 and d3
    When the link of d2 to the platform drops all traffic
    And the tables are published 2 times
    Then the last tables are in force on d1, d2 and d3
    And d2 got the tables from a peer before its read of the log failed
    When the link of d2 to the platform heals
    And the tables are published 1 times
    Then the last tables are in force on d1, d2 and d3
    When a damaged record and one of a newer version are appended to the tables
    Then the unreadable records show in status, events and metric of every daemon
    And the last tables are in force on d1, d2 and d3
    When the tables are published 1 times
    And 130 revisions are appended to the tables, each followed by a void one
    And d3 is restarted
    Then the last tables are in force on d1, d2 and d3
    When the tables are published with --wait for every daemon
    Then the waiting publish exits 0 and every daemon has the tables
    When d2 is isolated and the tables are published with --wait for every daemon
    Then the waiting publish exits 6 and reports only d2 as missing
    When the links of d2 heal
    Then the last tables are in force on d1, d2 and d3
    And no daemon has gone back to older tables

  Scenario: Tables survive the loss of the log, and accepted jobs survive the removal of their pool
    Given a configured deployment of 3 daemons with a short retention of the log
    When the tables are published 1 times
    Then the tables are recorded again
    When the daemon that records the tables again is cut off from the platform
    Then another daemon records the tables again
    When the platform refuses everything
    And d1 is killed and started again
    Then the last tables are in force on d1, d2 and d3
    And d1 serves requests
    When every daemon is killed and d1 is started alone
    Then d1 reports that it is not ready
    When the platform answers again
    Then d1 serves requests
    And the last tables are in force on d1
    When d2 and d3 are started again
    And the log loses every record of the tables during an outage
    And the tables are published 1 times
    And d3 is restarted
    Then the last tables are in force on d1, d2 and d3
    When the route and the pool of running jobs are removed from the tables
    Then the running jobs complete and new ones are refused
    And no daemon has gone back to older tables
