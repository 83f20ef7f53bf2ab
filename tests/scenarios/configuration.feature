Feature: An accepted configuration is in force within 8 s and never reverts

  Scenario: A change reaches every process
    Given seed 61
    And a desk fleet of 2 routers, 2 replicas and 2 slots
    When an operator applies a change
    Then every process has that version within 8 s

  Scenario: Two operators race each other
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

  Scenario: A router restarts while the store is down
    Given seed 64
    And a desk fleet of 2 routers, 2 replicas and 2 slots
    When an operator applies a change
    And every process has that version within 8 s
    And the platform is down
    And side process 0 is killed
    And side process 0 restarts
    Then every process has that version within 8 s
    And no process is behind that version

  Scenario: A cut-off side process catches up and nobody reverts
    Given seed 65
    And links in front of each side-process
    And a desk fleet of 2 routers, 2 replicas and 2 slots
    When the way to side process 0 is cut off
    And an operator applies a change
    And 1000 ms pass
    And the platform answers 1500 ms late
    And the way to side process 0 heals
    Then every process has that version within 8 s
    And 3000 ms pass
    And no process is behind that version

  Scenario: The store answers from an old version
    Given seed 66
    And a desk fleet of 2 routers, 2 replicas and 2 slots
    When an operator applies a change
    And every process has that version within 8 s
    And the platform answers from the version before
    And router 0 is killed
    And router 0 restarts
    Then every process has that version within 8 s
    And 3000 ms pass
    And no process is behind that version

  Scenario: The store is down for long and comes back
    Given seed 67
    And a desk fleet of 2 routers, 1 replica and 2 slots
    When the platform hangs
    And 5000 ms pass
    And the platform works
    And an operator applies a change
    Then every process has that version within 8 s

  Scenario: Two operators race while the store answers late
    Given seed 68
    And a desk fleet of 2 routers, 1 replica and 2 slots
    When the platform answers 1500 ms late
    And two operators apply changes at once
    Then every process has that version within 8 s

  Scenario: Two operators race and an answer is lost
    Given seed 69
    And a desk fleet of 2 routers, 1 replica and 2 slots
    When the platform loses the next answer to an apply
    And two operators apply changes at once
    Then every process has that version within 8 s
