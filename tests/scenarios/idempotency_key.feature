Feature: A repeat with the same Idempotency-Key never runs again

  Scenario: Two callers race the same keys through two routers
    Given seed 81
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When 12 callers send keyed requests of 200 ms through router 0
    And 12 callers repeat their keys for 200 ms through router 1
    Then every repeat gets the stored answer, still running or outcome unknown
    And no key runs twice

  Scenario: A repeat after the answer gets the stored answer
    Given seed 82
    And a desk fleet of 2 routers, 3 replicas and 8 slots
    When 16 callers send keyed requests of 20 ms through router 0
    And the keyed callers have their answers
    And 16 callers repeat their keys for 20 ms through router 1
    Then every repeat gets the stored answer
    And no key runs twice

  Scenario: The router is killed while the requests run
    Given seed 83
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When 12 callers send keyed requests of 1500 ms through router 0
    And 12 requests run
    And router 0 is killed
    And 12 callers repeat their keys for 1500 ms through router 1
    And every call ends
    And 3000 ms pass
    And 12 callers repeat their keys for 1500 ms through router 1
    Then every repeat gets the stored answer
    And no key runs twice

  Scenario: An arbiter is killed and replaced
    Given seed 84
    And a desk fleet of 2 routers, 3 replicas and 8 slots
    When 16 callers send keyed requests of 20 ms through router 0
    And the keyed callers have their answers
    And side process 3 is killed
    And side process 3 restarts
    And 15000 ms pass
    And 16 callers repeat their keys for 20 ms through router 1
    Then every repeat gets the stored answer, still running or outcome unknown
    And no key runs twice

  Scenario: Every side process is replaced gracefully, one after another
    Given seed 85
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When 16 callers send keyed requests of 20 ms through router 0
    And the keyed callers have their answers
    And side process 2 is told to stop
    And side process 2 ends
    And side process 2 restarts
    And every router reaches every side process
    And 2000 ms pass
    And side process 3 is told to stop
    And side process 3 ends
    And side process 3 restarts
    And every router reaches every side process
    And 15000 ms pass
    And 16 callers repeat their keys for 20 ms through router 1
    Then every repeat gets the stored answer, still running or outcome unknown
    And no key runs twice

  Scenario: All side processes are killed at once
    Given seed 86
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When 16 callers send keyed requests of 20 ms through router 0
    And the keyed callers have their answers
    And side process 2 is killed
    And side process 3 is killed
    And side process 2 restarts
    And side process 3 restarts
    And every router reaches every side process
    And 15000 ms pass
    And 16 callers repeat their keys for 20 ms through router 1
    Then every repeat gets the stored answer, still running or outcome unknown
    And no key runs twice

  Scenario: The store is down for longer than every lease
    Given seed 87
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When 16 callers send keyed requests of 20 ms through router 0
    And the keyed callers have their answers
    And the platform is down
    And 13000 ms pass
    And 16 callers repeat their keys for 20 ms through router 1
    Then every repeat is refused as not-run
    And no key runs twice

  Scenario: Requests without a key are served while the store is down
    Given seed 88
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When the platform is down
    And 13000 ms pass
    And 10 callers send streams of 10 tokens
    And 10 callers send non-idempotent requests of 10 ms
    Then every caller has its own whole answer

  Scenario: A lease holder is paused beyond its lease
    Given seed 89
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When 16 callers send keyed requests of 20 ms through router 0
    And the keyed callers have their answers
    And side process 2 pauses
    And 16000 ms pass
    And 16 callers repeat their keys for 20 ms through router 1
    And 500 ms pass
    And side process 2 resumes
    Then every repeat gets the stored answer, still running or outcome unknown
    And no key runs twice

  Scenario: Answers to lease renewals are lost
    Given seed 90
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When 16 callers send keyed requests of 20 ms through router 0
    And the keyed callers have their answers
    And the platform loses the next 12 answers
    And 6000 ms pass
    And 16 callers repeat their keys for 20 ms through router 1
    Then every repeat gets the stored answer
    And no key runs twice
