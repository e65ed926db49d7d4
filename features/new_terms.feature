Feature: What a new term rules out, and how long it holds up jobs

  Scenario: An unlisted upstream that leaves the directory for one read and returns still counts
    # Guards against a second run because its return resets what may run there to the term's first 2 s.
    When an upstream out of reach leaves the directory for one read, late in the term
    Then no two runs of a task were alive at one time around the new term

  Scenario: An upstream that the directory first shows late in the term counts until it has listed
    # Guards against a second run beside one on an upstream that is shown more than 2 s into the term.
    When an upstream out of reach is first shown 2.5 s into the term
    Then no two runs of a task were alive at one time around the new term

  @known_red
  Scenario: An upstream counts as silent only while the directory can be read
    # Guards against a second run under a provisional leader that can't read the directory.
    When the new leader can't read the directory, and the earlier one keeps a run alive
    Then no two runs of a task were alive at one time around the new term

  Scenario: An upstream that restarts counts as running anything until it has listed its runs
    # Guards against a second run on an incarnation that has seen no token yet.
    When an upstream restarts, and only an earlier leader reaches it then
    Then no two runs of a task were alive at one time around the new term

  Scenario: An upstream of a domain that is led no more blocks nothing
    # Guards against a leader that never starts a task again (an entry in UnknownRuns that none removes).
    When an unlisted upstream leaves, its domain is handed over, and it is shown again
    Then the job starts on u0 within 1 s of its submission

  Scenario: A new upstream that never replies doesn't block a leader for good
    # Guards against a leader that serves nothing since one upstream registered in its term.
    When an upstream registers long after the term began, reports itself and never replies
    Then the job starts on u0 within 1 s of its submission

  Scenario: An upstream that no leader reaches at the start of a term blocks it for a limited time
    # Guards against a failure domain that refuses every job for as long as one link is cut.
    When an upstream reports itself and doesn't reply for 6 s from the start of the term on
    Then the job starts on u0 within 1 s of its submission

  Scenario: A refused token of one failure domain doesn't block the others
    # Guards against a leader of two domains that starts nothing in either.
    When an upstream of another led domain refuses the token and reports itself
    Then the job starts on u0 within 1 s of its submission

  Scenario: One upstream that refuses a token is handled with 540 upstreams in the domain
    # Guards against a recursion as deep as the domain has upstreams.
    When one of 540 upstreams of a domain refuses the token
    Then all 540 are superseded without an unexpected error

  Scenario: A step that is released by a second submission's marks gets placed
    # Guards against a job that waits for its deadline with nothing under way.
    When a second submission says that the only task of the first step is done
    Then the task of the second step is placed within 1 s

  Scenario: A restarted entry host's own job is not cancelled by its first heartbeat
    # Guards against a 504 for a live caller after a fast restart.
    When a restarted entry host submits a job just before its first heartbeat
    Then the job is not cancelled

  Scenario Outline: An upstream that reports itself as often as the platform asks is not taken for silent
    # Guards against a second run in a gap between two reports (heartbeat_ms is 1,500; three missed remove it).
    When its reports reach the directory <report> s apart, read every <read> s
    Then no two runs of a task were alive at one time around the new term

    Examples:
      | report | read |
      | 1.5    | 0.4  |

    @known_red
    Examples: Reads or reports come late
      | report | read |
      | 1.5    | 0.7  |
      | 3.0    | 0.4  |

  Scenario: A refusal of an earlier token doesn't end a newer term
    # Guards against a domain without work since a reply to the last term's session comes late.
    When a refusal of the last term's token comes as the next term begins
    Then the job starts on u0 within 1 s of its submission

  Scenario: A list under an earlier token doesn't count under a newer one
    # Guards against a start before the upstream has listed its runs under this term's token.
    When a list under the last term's token comes as the next term begins
    Then the upstream still counts as unlisted under the new token

  @known_red
  Scenario: A new domain doesn't hold up the others until the next regular read
    # Guards against a pause of all starts at each further term.
    When a leader of one domain gets a second one just after a read of the directory
    Then a job waits less than 0.2 s for its start

  Scenario: One upstream that refuses every token doesn't disable its domain
    # Guards against a domain that gets no work for as long as one of its upstreams misbehaves.
    When one upstream refuses every token, and the domain is claimed again
    Then the job starts on u0 within 1 s of its submission

  Scenario: A superseded domain gets work again under a higher token
    # Guards against sessions that stay superseded.
    When a superseded domain is led again under a higher token
    Then the job starts on u0 within 1 s of its submission

  @known_red
  Scenario: Lost stops of one job don't end the runs of another
    # Guards against lapsed leases of runs that nobody stops.
    When every stop to an upstream is lost while another job runs there
    Then the other job's run is not ended

  @known_red
  Scenario: An adopted run isn't kept alive while the earlier leader may restart its task
    # Guards against a second run that the earlier leader starts once the lease that it knows has ended.
    When the new leader adopts a run, and the earlier one no longer reaches it
    Then no two runs of a task were alive at one time around the new term

  Scenario: A job waits for an upstream that never replies
    # Guards against a block that has no end.
    When a job waits 20 s into a term for an upstream that reports itself and never replies
    Then the job starts on u0 within 1 s of its submission

  @known_red
  Scenario Outline: The leader before the last one is told as well
    # Guards against a leader that was out of reach of its successor and goes on under the next one.
    When two terms follow each other <how>
    Then both former leaders are told of the newest term

    Examples:
      | how     |
      | in turn |
      | at once |

  Scenario: An upstream that registers in a domain whose token was refused isn't used
    # Guards against a replaced leader that starts tasks where its successor hasn't been heard yet.
    When one upstream of a domain refuses the token, and another one registers then
    Then the new upstream gets no command
