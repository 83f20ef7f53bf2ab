Feature: Each caller receives the whole answer to its own request

  Scenario: Answers of concurrent callers are not mixed up
    Given seed 11
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    When 60 callers send streams of 40 tokens
    And 20 callers ask for whole answers of 40 tokens
    Then every caller has its own whole answer

  Scenario: Connections from routers are cut repeatedly in mid-stream
    Given seed 12
    And fault proxies in front of each side-process
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When 16 callers send streams of 400 tokens
    And 16 requests run
    And the connections to side process 0 are cut
    And 300 ms pass
    And the connections to side process 1 are cut
    And 200 ms pass
    And the connections to side process 0 are cut
    Then every caller has its own whole answer
    And no non-idempotent request runs twice

  Scenario: Connections to an engine are cut in mid-stream
    Given seed 13
    And fault proxies in front of each backend
    And a desk fleet of 1 router, 1 replica and 8 slots
    When 8 callers send streams of 400 tokens
    And 8 requests run
    And the connections to backend server 0 are cut
    And 300 ms pass
    And the connections to backend server 0 are cut
    Then every caller has its own whole answer

  Scenario: An engine crashes in mid-stream
    Given seed 14
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When 12 callers send streams of 400 tokens
    And 12 requests run
    And backend server 0 is killed
    And 500 ms pass
    And backend server 0 restarts
    Then every caller has its own whole answer or a truthful failure
    And no request refused as not-run ever runs

  Scenario: A side process is killed in mid-stream
    Given seed 15
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When 12 callers send streams of 400 tokens
    And 12 requests run
    And side process 0 is killed
    And side process 0 restarts
    Then every caller has its own whole answer or a truthful failure
    And no request refused as not-run ever runs
    And at least 5 callers have an answer
