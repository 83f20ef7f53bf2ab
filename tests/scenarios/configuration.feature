Feature: An accepted configuration is in force within 8 s and never reverts

  Scenario: A change reaches every process
    Given seed 61
    And a desk fleet of 2 routers, 2 replicas and 2 slots
    When an operator applies a change
    Then every process has that version within 8 s

  Scenario: Two operators apply changes at the same time
    Given seed 62
    And a desk fleet of 2 routers, 1 replica and 2 slots
    When two operators apply changes at once
    Then every process has that version within 8 s

  Scenario: The answer to an apply is lost
    Given seed 63
    And a desk fleet of 2 routers, 1 replica and 2 slots
    When the platform loses the next answer to an apply
    And an operator applies a change
    Then every process has that version within 8 s

  Scenario: A side process restarts while the store is down
    Given seed 64
    And a desk fleet of 2 routers, 2 replicas and 2 slots
    When an operator applies a change
    And every process has that version within 8 s
    And the platform is down
    And side process 0 is killed
    And side process 0 restarts
    Then every process has that version within 8 s
    And no process is behind that version

  Scenario: A partitioned side process catches up and no process reverts
    Given seed 65
    And fault proxies in front of each side-process
    And a desk fleet of 2 routers, 2 replicas and 2 slots
    When the network path to side process 0 is partitioned
    And an operator applies a change
    And 1000 ms pass
    And the platform answers 1500 ms late
    And the network path to side process 0 heals
    Then every process has that version within 8 s
    And 3000 ms pass
    And no process is behind that version

  Scenario: The store answers with an old version
    Given seed 66
    And a desk fleet of 2 routers, 2 replicas and 2 slots
    When an operator applies a change
    And every process has that version within 8 s
    And the platform answers with the previous version
    And router 0 is killed
    And router 0 restarts
    Then every process has that version within 8 s
    And 3000 ms pass
    And no process is behind that version

  Scenario: The store does not answer for 5 s and recovers
    Given seed 67
    And a desk fleet of 2 routers, 1 replica and 2 slots
    When the platform hangs
    And 5000 ms pass
    And the platform recovers
    And an operator applies a change
    Then every process has that version within 8 s

  Scenario: Two operators apply changes while the store answers late
    Given seed 68
    And a desk fleet of 2 routers, 1 replica and 2 slots
    When the platform answers 1500 ms late
    And two operators apply changes at once
    Then every process has that version within 8 s

  Scenario: Two operators apply changes and an answer is lost
    Given seed 69
    And a desk fleet of 2 routers, 1 replica and 2 slots
    When the platform loses the next answer to an apply
    And two operators apply changes at once
    Then every process has that version within 8 s
