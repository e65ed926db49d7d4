Feature: Load and capacity tools
  The figures of the capacity page rest on these tools, so their counts have to be right. No verdict
  here depends on speed.

  Scenario: The load tool's counts agree with the workers' records
    # Guards against a load tool that counts refused, partial or repeated answers as done.
    Given a capacity deployment of 2 daemons and 4 workers
    When the load tool sends 12 jobs of 30 tasks
    And the load tool sends 20 jobs of 1 tasks
    And the load tool sends 20 single requests
    Then the load tool's answers are all complete
    And the load tool's count of tasks is 400
    And the capacity workers started 400 tasks with 400 different keys

  Scenario: Heads encoded once for a job say the same as heads encoded for each task
    # Guards against a shared head that carries another task's key, length or time.
    When upstream requests are encoded for many tasks in turn
    Then each upstream request reads back as its own task

  Scenario: A key that no header may hold does not end the daemon
    # Guards against an encoding error that ends every task of the daemon.
    Given a capacity deployment of 1 daemons and 2 workers
    When a capacity caller submits a job under a key that starts with a space
    Then the capacity caller is told the truth about its task
    When the load tool sends 2 jobs of 30 tasks
    Then the load tool's answers are all complete

  Scenario: The limit on kept memory bounds resident memory
    # Guards against a limit that counts bodies and leaves out the objects around them.
    Given a capacity daemon that may keep 4 MB, after its first jobs
    When jobs of 300 small tasks are sent until the capacity daemon refuses them for memory
    Then the capacity daemon has grown by 0.5 to 1.5 times its limit

  Scenario: Idle upstreams cost little, and every slot still takes a task
    # Guards against a coroutine for each slot of 1,000 upstreams that a daemon owns for a moment.
    When a capacity runner owns 40 upstreams of 8 slots and then gets 320 tasks
    Then it has run one coroutine for each idle upstream and all tasks at once
