Feature: Submissions that a leader reads late
  A leader and an entry host exchange heartbeats and jobs over loopback connections, through a relay
  that holds back what the test says. A leader starts nothing for a sender that may no longer wait.

  Scenario Outline: A submission that its entry host has given up starts nothing when it is read
    # Guards against a start for a job that its entry host has sent to the next leader (issue 38).
    Given a leader and an entry host that follows it through a relay
    When the leader reads a job after the entry host has lost it, as <cause>
    Then no task of the job was placed

    Examples:
      | cause                                             |
      | its replies to heartbeats are held back           |
      | its requests are held back, heartbeats read first |
