Feature: Decisions of a leader
  Pure functions over frozen data are checked under the load patterns that they handle, and the
  scheduler and leadership with in-memory upstreams and logs.

  Scenario: Long tasks take the fast upstream and short ones leave it free
    Given upstreams of speed 0.6, 1.0 and 1.6 with free capacity
    Then a task of 760 ms is placed on the upstream of speed 1.6
    And a task of 170 ms is placed on the upstream of speed 1.0
    And a task of 50 ms is placed on the upstream of speed 0.6

  Scenario: An upstream that would be late for the objective is the last choice
    # Guards against short jobs that are late on slow upstreams while faster ones are free.
    Given upstreams of speed 0.6, 1.0 and 1.6 with free capacity
    When the objective of the task is 300 ms
    Then a task of 170 ms is placed on the upstream of speed 1.0
    And a task of 190 ms is placed on the upstream of speed 1.0
    When the upstream of speed 1.0 has no free capacity
    Then a task of 190 ms is placed on the upstream of speed 1.6
    When the upstream of speed 1.6 has no free capacity
    Then a task of 190 ms is placed on the upstream of speed 0.6

  Scenario: A task that only a fast upstream can finish in time waits for one
    # Guards against long tasks that are started on a slow upstream and miss their deadline there.
    Given upstreams of speed 0.6, 1.0 and 1.6 with free capacity
    When the task must be done in 1200 ms
    And the upstream of speed 1.6 has no free capacity
    Then a task of 1600 ms is not placed
    And a task of 760 ms is placed on the upstream of speed 1.0

  Scenario Outline: A run is moved if the restart meets a time limit that the run would miss
    # Guards against jobs with many parallel tasks that wait for one on a hung or slow upstream.
    Then a run of <work> ms at <percent> percent after <elapsed> ms with <left> ms left is <verdict>

    Examples:
      | work | percent | elapsed | left | verdict |
      | 50   | 10      | 60      | 150  | moved   |
      | 50   | 60      | 60      | 150  | kept    |
      | 50   | 0       | 120     | 150  | moved   |
      | 50   | 0       | 60      | 150  | kept    |
      | 800  | 10      | 200     | 1300 | moved   |
      | 800  | 10      | 200     | 700  | kept    |
      | 800  | 1       | 30      | 1300 | kept    |

  Scenario: A task is placed only on upstreams with capacity and its label where it hasn't failed
    Given upstreams of speed 0.6, 1.0 and 1.6 with free capacity
    When the upstream of speed 1.6 has no free capacity
    Then a task of 760 ms is placed on the upstream of speed 1.0
    When the task has failed on the upstream of speed 1.0
    Then a task of 760 ms is placed on the upstream of speed 0.6
    When the task requires label "x"
    Then a task of 760 ms is not placed

  Scenario: Tasks are placed on the rack of their data
    Given upstreams of speed 0.6, 1.0 and 1.6 with free capacity
    When the data of the task is on the rack of the upstream of speed 1.0
    Then a task of 760 ms is placed on the upstream of speed 1.0

  Scenario: A long task is moved once, and then left where it is
    # Guards against a task that is restarted repeatedly because its estimate is far too short.
    Then a first run of 100 ms at 15 percent after 90 ms with 300 ms left is moved
    And a second run of 100 ms at 15 percent after 90 ms with 300 ms left is kept
    And a second run of 100 ms at 0 percent after 250 ms with 300 ms left is moved

  Scenario: The index of free upstreams answers as a look at each of them does
    # Guards against a leader of many upstreams that spends its processor time on walks over them.
    Then for arbitrary free upstreams and tasks the index chooses at the lowest cost of all
    And for arbitrary free upstreams the index finds the fastest other one with room

  Scenario: A change of one upstream is in the index at the next decision
    # Guards against work placed on an upstream that is full, ejected, draining or gone.
    Given a leader of 3 in-memory upstreams with room for two tasks each
    When a job of 6 endless tasks is submitted to it
    Then each upstream runs two of them
    And a further job is refused until one of the runs ends

  Scenario: An upstream's capacity that shrinks and grows again bounds the starts there
    # Guards against starts beyond the capacity of an upstream that shrank while tasks ran.
    Given a leader of 1 in-memory upstreams with room for two tasks each
    When its capacity shrinks to one task while two run and a third one waits
    Then the third isn't started when one of them has ended
    And it is started when the capacity has grown again

  Scenario: A run that is being stopped for an earlier leader leaves no room for others
    # Guards against a start beside runs of unknown size on an upstream that doesn't guard its capacity.
    Given a leader of 1 in-memory upstreams with room for two tasks each
    When it stops the run of an earlier leader while a job waits
    Then the waiting job is started once that run has ended

  Scenario: A job of short tasks precedes a job of long ones received slightly earlier
    Then a job with a critical path of 50 ms precedes one of 760 ms received 100 ms earlier
    And a job with a critical path of 760 ms precedes one of 50 ms received 500 ms later

  Scenario: A job whose deadline comes before its objective precedes a short one received later
    # Guards against large jobs that wait until they miss their deadline.
    Then a job with a critical path of 1400 ms precedes one of 170 ms received 400 ms later

  Scenario: The largest jobs are served at least half as often as all at peak load
    # Guards against large jobs whose room goes to short ones until their deadline has passed.
    When a leader plays 13 s of peak load with the seeds 1 to 8
    Then of each kind the largest tenth and the fifth below it are served at least half as often as all

  Scenario: A job that can't start in time is refused well before a quarter of its objective
    Then a job with a critical path of 170 ms and a target of 60 ms is refused after at most 83 ms

  Scenario: Speeds and sizes are learned from the runs that ended
    When 40 runs with an estimate of 100 ms take 60 ms on "fast" and 160 ms on "slow"
    Then the speed of "fast" is over twice that of "slow"
    And one straggler of 2000 ms changes the speed of "fast" by less than a fifth

  Scenario: A long task doesn't wait for the one upstream whose learned speed is the highest
    # Guards against the tasks of large jobs that wait for one upstream while equal ones are idle.
    When the runs of 30 upstreams take 60 ms each with an estimate of 100 ms, and of one 30 ms
    Then a task of 3000 ms with 1500 ms left may be placed on any of the 30

  Scenario: An upstream is ejected for failures of two jobs, and admitted on probation
    When a run of job "a" fails on an upstream
    Then the upstream admits a run in addition to 1
    When a run of job "a" fails on an upstream
    Then the upstream admits a run in addition to 1
    When a run of job "b" fails on an upstream
    Then the upstream admits no run
    When the ejection has ended
    Then the upstream admits a run in addition to 0
    And the upstream admits no run in addition to 1
    When a run of job "c" fails on an upstream
    Then the next ejection is twice as long
    When a run succeeds on the upstream
    Then the upstream admits a run in addition to 1

  Scenario: Running work is kept when only this process was paused
    # Guards against a leader that stops the jobs of hosts whose heartbeats it has not read yet.
    Given a leader that runs a job of another host which sends heartbeats
    When its process is paused for 1.0 s and the next heartbeat arrives 0.3 s later
    Then the job of that host still runs
    When no heartbeat arrives for 1.0 s
    Then the job of that host is cancelled

  Scenario: One lost reply to a hold doesn't eject an upstream, two in a row do
    # Guards against a sound upstream that gets no work for half a second after one connection was reset.
    Given a leader of 1 in-memory upstreams with room for two tasks each
    When the reply to 1 hold is lost while a task runs
    Then the upstream was not ejected, and the job is answered as succeeded
    When the replies to 2 holds are lost while a task runs
    Then the upstream was ejected, and the job is answered as succeeded

  Scenario: A leader that replies isn't taken for lost after a pause of its follower
    # Guards against a claim by a host that was paused itself while the leader went on.
    Given a host that follows a leader which replies to heartbeats
    When the host's process is paused for 1.0 s during a heartbeat
    Then the leader isn't lost
    When the leader stops replying
    Then the leader is lost within 2 s

  Scenario: A host that asks one peer doesn't forget the others
    # Guards against a second leader of a failure domain whose first one was known and then forgotten.
    Given a host that follows a leader which replies to heartbeats
    When it has heard of two peers from its leader and asks one of them
    Then it knows both peers and the leader

  Scenario: The newest term of a failure domain is in force, in any order of arrival
    Then of terms with tokens 2000, 1003 and 3000 in any order the one with 3000 is in force
    And a provisional term after one in the log is newer than it and older than the next in the log

  Scenario: Provisional terms of a failure domain have different fencing tokens
    # Guards against two hosts, or two lives of one, whose commands upstreams can't tell apart (incident inc1).
    Then provisional terms of 200 hosts in two lives each have different fencing tokens
    And of 5000 provisional terms in a row each is newer than the last, or there is none left

  Scenario: A host that lost an append reads at once what came before it
    # Guards against claims that conflict for a second while the long poll of the log returns nothing (incident inc-c388).
    Given a host that follows a log whose long polls never return
    When another host appends a term and this host claims
    Then this host knows the other's term

  Scenario: A host whose claim came second claims again before it asks the lost leader
    # Guards against a failure domain without a leader until a call to an unreachable host times out (incident inc-6e50).
    Given a host that follows a lost leader, and a concurrent claim of another failure domain
    When the host replaces the leader
    Then it leads its failure domain without probing the lost leader

  Scenario: A leader that is replaced while it waits to hand over follows the next leader at once
    # Guards against jobs that wait for a leader to which this host sends no heartbeats yet.
    When a host is replaced while it waits to hand over to a stronger one
    Then it sends heartbeats to the next leader within 0.3 s

  Scenario: A connection that the peer closes immediately is a failed exchange
    # Guards against a host that exits with an AttributeError (found under load, with 33 upstreams in each zone).
    When a request is sent on a connection whose socket is dropped as soon as it is open
    Then the exchange has failed at "connect" and may not have run

  Scenario: A job submitted again is not started before all its earlier runs are known
    # Guards against a task that runs twice when its job arrives before the term that makes the host
    # lead both failure domains.
    Given a host that has led failure domain "z1" of two beyond the lifetime of earlier runs
    When a job is submitted to it again
    Then none of its tasks is started
    When the host leads "z2" as well and knows the runs there
    Then the job's task that runs in "z2" is adopted and the other is started once

  Scenario: A job of a leader that handed over waits for the upstream that runs it
    # Guards against a second run of a task that runs on an upstream whose entry has just expired.
    Given a host that leads every failure domain and whose directory lacks an upstream
    When the previous leader hands over a job that runs on that upstream
    Then none of its tasks is started
    And the job's task that runs in "z2" is adopted and the other is started once

  Scenario: A job is not started on lists of runs that are older than its last leader's term
    # Guards against a second run at a host that gets a job before it hears that its own newer term is recorded.
    Given a leader of 2 in-memory upstreams with room for two tasks each
    When a leader under a newer token hands over a job that runs on one of them
    Then the host starts nothing until it leads under a newer token still
    And it adopts the run then

  Scenario: A lost leader's job is not started beside runs on an upstream whose entry has expired
    # Guards against a second run of a task that runs on an upstream known only to a cut-off leader.
    Given a host that leads every failure domain and whose directory lacks an upstream
    When a lost leader's job is submitted to it
    Then the job is abandoned without a start

  Scenario: A lost leader's job names the terms that the leader got after the job was sent
    # Guards against a next leader that takes the job's earlier runs for known too early.
    Given an entry host whose job is at a leader of "z1" under token 1000
    When that leader gains "z2" under token 2000 and is lost
    Then the job is resubmitted with runs in "z1" under 1000 and in "z2" under 2000
    Given an entry host whose job is at a leader of "z1" under token 1007
    When that leader records "z1" under token 2000 and is lost
    Then the job is resubmitted with runs in "z1" under 2000

  Scenario: A lost leader's job may still run in a failure domain that the leader has handed over
    # Guards against a second run beside one whose lease lasts on under the leader before.
    Given an entry host whose job is at a leader of "z1" under token 1000
    When that leader hands it over for "z2" under token 2000 and is lost
    Then the job is resubmitted with runs in "z1" under 1000 and in "z2" under 2000

  Scenario: A leader that hands over names the upstreams of a job's runs
    Given a leader with a job running on one of two upstreams
    When it stops leading
    Then the job's answer names the upstream that runs it

  Scenario: A leader that hands over names the tasks that are done
    # Guards against a task that is done and is started again by the next leader.
    Given a leader of 1 in-memory upstreams with room for two tasks each
    When it stops leading after one of a job's two tasks has ended
    Then the job's answer names the task that is done
    And a next leader that gets the job starts only the other task

  Scenario: A task that ended before its job is submitted again is not started again
    # Guards against a second start of a task whose end the next leader hears of before it gets the job.
    Given a leader of 1 in-memory upstreams with room for two tasks each
    When a run of an earlier leader ends there before its job is submitted again
    Then the job is answered as succeeded without a start

  Scenario: Ends and runs of unknown tasks are ignored
    # An end that named a step which its job doesn't have ended the whole process.
    Given a leader of 1 in-memory upstreams with room for two tasks each
    When the upstream reports an end of a step that a resubmitted job doesn't have
    Then the job is answered as succeeded after one start

  Scenario: A new leader doesn't extend the lease of runs that it hasn't adopted
    # Guards against a run that outlives the lease known to the old leader, which restarts its task.
    Given a host that begins to lead an upstream with a run of an earlier leader
    When it has asked the upstream for its runs several times
    Then no hold extended the lease

  Scenario: A host whose fencing token was never accepted doesn't go on sending commands
    # Guards against the weaker one of two provisional leaders, which calls upstreams 20 times a second each.
    Given a leader of 2 in-memory upstreams with room for two tasks each
    When another leader has used a higher token on them before
    Then it soon stops sending them commands under its own

  Scenario: A host whose fencing token is refused takes no more work
    # Guards against a replaced leader that stays ready and starts each task again every 20 ms (incident inc1, 74.4 s).
    Given a leader of 2 in-memory upstreams with room for two tasks each
    When another leader uses a higher token on them before a job is submitted
    Then it soon stops sending them commands under its own
    And it has no upstream that can take work
    And the job is refused as not run, long before its deadline

  Scenario: A waiting job learns of earlier runs from its second submission
    # Guards against a start beside an earlier run that only the second of two entry hosts knows of.
    Given a leader of 1 in-memory upstreams with room for two tasks each
    When a waiting job is submitted again with an earlier run on an upstream that the host lacks
    Then the job is not started

  Scenario: A leader that gets a newer token keeps the runs of its jobs
    # Guards against a second start of a task that is done, when a provisional term is recorded.
    Given a leader of 1 in-memory upstreams with room for two tasks each
    When it gets a newer token while a task runs, which ends then
    Then the job is answered as succeeded after one start

  Scenario: A new leader doesn't start a job beside a run that is not listed yet
    # Guards against two runs where callers submit a job to both of two provisional leaders (incident inc1).
    Given a leader of 2 in-memory upstreams with room for two tasks each
    When a job whose run one of them has not listed yet is submitted to it for the first time
    Then the job is not started

  Scenario: A new leader doesn't extend the lease of a run that it couldn't stop
    # Guards against a run that outlives the lease known to the old leader, which restarts its task.
    Given a leader of 1 in-memory upstreams with room for two tasks each
    When its stop of an earlier leader's run gets lost
    Then it doesn't extend that run's lease

  Scenario: A lost leader's job may run in each failure domain that the leader had gained
    # Guards against a second run of a task that runs in a failure domain unknown to the entry host.
    When its leader gains a failure domain, gets a job and is lost
    Then the job's earlier runs are looked for in both failure domains of the lost leader

  Scenario: A replaced leader doesn't keep its callers' jobs while its claim is unanswered
    # Guards against 0.6 s of jobs that are refused or given up (incident inc1, 32.8 and 73.4 s).
    When it hears of a newer term while its own append gets no answer
    Then it no longer submits its callers' jobs to itself

  Scenario Outline: A task is given up after two crashes if it ran alone, or after three
    Then a task is <verdict> after <crashes> crashes, <alone> of them while it ran alone

    Examples:
      | crashes | alone | verdict  |
      | 1       | 1     | kept     |
      | 2       | 0     | kept     |
      | 2       | 1     | given up |
      | 3       | 0     | given up |

  Scenario: A task is held back while it isn't known whether its upstreams have crashed
    # Guards against a job that is answered as failed since a cut has refused connections (hunt ef6003ad).
    Then a task is held back, but not given up, after 2 crashes that aren't confirmed
    Given a leader of 3 in-memory upstreams that can crash
    When two upstreams in turn refuse connections under a task for longer than their lease
    Then the task isn't started a third time before they reply, nor its job answered
    And the job is answered as succeeded, and its task isn't suspected

  Scenario: A task that crashes upstreams is given up, and one that ran beside it isn't
    # Guards against a task that crashes one upstream after another (issue 26).
    Given a leader of 3 in-memory upstreams that can crash
    When a task crashes the upstream on which another job's task runs, and then the next one
    Then each of them ran alone after the first crash
    And the job whose task crashes upstreams is answered as failed after 2 starts
    And the other job is answered as succeeded

  Scenario Outline: A run that is lost without a crash doesn't count against its task
    # Guards against a job that is given up after cuts, freezes or planned departures.
    Given a leader of 3 in-memory upstreams that can crash
    When an upstream <event> under a task, and then the next one
    Then the job is answered as succeeded, and its task isn't suspected

    Examples:
      | event                            |
      | is silent                        |
      | refuses connections for a moment |
      | leaves after a drain             |

  Scenario: An upstream that was silent for longer than its lease is used again
    # Guards against an upstream that gets no more work from its leader after a cut.
    Given a leader of 1 in-memory upstreams that can crash
    When an upstream is silent under a task until its job is answered
    Then a further job is answered as succeeded

  Scenario: Starts that crashed upstreams refuse don't count against their tasks
    # Guards against a job that is given up since it was placed on upstreams that had crashed before.
    Given a leader of 3 in-memory upstreams that can crash
    When a job of 2 tasks is placed on two upstreams that have crashed, and then on the next one
    Then the job is answered as succeeded, and its task isn't suspected

  Scenario: A job that was given up starts nothing when it is submitted again
    # Guards against a refusal that says "not run" of a job whose runs have crashed upstreams.
    Given a leader of 3 in-memory upstreams that can crash
    When two upstreams crash under a task and its job is submitted again
    Then it isn't answered before the upstreams start again
    And the job whose task crashes upstreams is answered as failed after 2 starts

  Scenario: A host that replaces its leader finds out whether upstreams have crashed
    # Guards against a task that is held back since its crashes stay uncertain under the next leader.
    Given a leader of 3 in-memory upstreams that can crash
    When two upstreams crash under a task and have not started again yet
    And it has replied to a heartbeat of a host, which then leads and gets the job
    Then the job whose task crashes upstreams is answered as failed after 2 starts

  Scenario: A host that replaces its leader knows which tasks crash upstreams
    # Guards against a new leader that starts such a task as if nothing was known of it (issue 26).
    Given a leader of 3 in-memory upstreams that can crash
    When two upstreams crash under a task and its job is submitted again
    And it has replied to a heartbeat of a host, which then leads and gets the job
    Then the job whose task crashes upstreams is answered as failed after 2 starts
