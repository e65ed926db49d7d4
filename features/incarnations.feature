Feature: Starts and the incarnations of an upstream

  Scenario: A task isn't started twice on an upstream that has restarted unnoticed
    # Guards against a second run of tasks whose starts were under way when a restart became known (review/2).
    Given a leader of an idle upstream that is reached over loopback connections
    When the upstream restarts and gets a hold, then a start, and answers the hold before the start
    Then no two runs of a task are under way at the same time
    And the job that was submitted after the restart is answered as succeeded

  Scenario: A request isn't sent over a new connection if it must reach the earlier process
    # Guards against a start that opens a connection to whatever process listens there by then.
    When a connection has ended and a request comes that must not open it
    Then the request fails without having been sent

  Scenario Outline: Evidence on an upstream says which of its runs may be alive
    # Guards against a run that is given up by one path and kept by another on the same evidence.
    Then a <phase> run <fate> once <evidence>

    Examples:
      | phase                  | evidence                               | fate         |
      | queued                 | a list without it comes                | may be alive |
      | queued                 | its incarnation has ended              | was not sent |
      | queued                 | the lease has expired                  | was not sent |
      | starting               | a list without it comes                | may be alive |
      | starting               | its incarnation has ended              | is lost      |
      | starting               | the lease has expired                  | is lost      |
      | running                | a list with it comes                   | may be alive |
      | running                | a list without it comes                | is lost      |
      | running                | a list without it comes that was asked for before its start | may be alive |
      | running                | its incarnation has ended              | is lost      |
      | running                | the lease has expired                  | is lost      |
      | stopping               | a list with it comes                   | may be alive |
      | stopping               | a list without it comes                | is lost      |
      | stopping               | a list without it comes that was asked for before its start | may be alive |
      | stopping               | its incarnation has ended              | is lost      |
      | stopping               | the lease has expired                  | is lost      |
      | stopping, unconfirmed  | a list without it comes                | may be alive |
      | stopping, unconfirmed  | its incarnation has ended              | is lost      |
      | stopping, unconfirmed  | the lease has expired                  | is lost      |
