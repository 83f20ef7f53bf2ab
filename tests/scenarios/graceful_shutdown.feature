Feature: A graceful shutdown interrupts no request in progress

  Scenario: A side process stops in mid-stream
    Given seed 51
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    When 8 callers send streams of 800 tokens
    And 8 requests run
    And side process 0 is told to stop
    Then every caller has its own whole answer
    And side process 0 ends

  Scenario: A router stops in mid-stream with requests waiting
    Given seed 52
    And a desk fleet of 1 router, 1 replica and 2 slots
    When 10 callers send streams of 200 tokens
    And 2 requests run
    And router 0 is told to stop
    Then every caller has its own whole answer
    And router 0 ends

  Scenario: All routers are replaced one after another
    Given seed 53
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    When 8 callers send streams of 600 tokens
    And 8 requests run
    And router 0 is told to stop
    And router 0 ends
    And router 0 restarts
    And every router reaches every side process
    And 8 callers send streams of 600 tokens
    And 16 requests run
    And router 1 is told to stop
    And router 1 ends
    Then every caller has its own whole answer
