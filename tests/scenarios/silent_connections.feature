Feature: Connections that stop delivering data are detected and replaced

  Scenario: Router to side process, both directions
    Given seed 21
    And fault proxies in front of each side-process
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When 12 callers send streams of 600 tokens
    And 12 requests run
    And the connections to side process 0 go silent
    Then every caller has its own whole answer

  Scenario: Router to side process, upstream only
    Given seed 22
    And fault proxies in front of each side-process
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When callers keep sending streams of 40 tokens, 8 at a time
    And 20 more requests run
    And the connections to side process 0 go silent upstream
    And 3000 ms pass
    And 20 more requests run
    And the callers stop
    Then every caller has its own whole answer

  Scenario: Router to side process, downstream only
    Given seed 23
    And fault proxies in front of each side-process
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When callers keep sending streams of 40 tokens, 8 at a time
    And 20 more requests run
    And the connections to side process 0 go silent downstream
    And 3000 ms pass
    And 20 more requests run
    And the callers stop
    Then every caller has its own whole answer

  Scenario: Side process to engine
    Given seed 24
    And fault proxies in front of each backend
    And a desk fleet of 1 router, 1 replica and 8 slots
    When 8 callers send streams of 600 tokens
    And 8 requests run
    And the connections to backend server 0 go silent
    Then every caller has its own whole answer

  Scenario: Non-idempotent requests over silent connections run once
    Given seed 25
    And fault proxies in front of each side-process
    And a desk fleet of 2 routers, 2 replicas and 8 slots
    When callers keep sending non-idempotent requests of 50 ms, 8 at a time
    And 20 more requests run
    And the connections to side process 2 go silent
    And 2000 ms pass
    And the connections to side process 3 go silent downstream
    And 2000 ms pass
    And 20 more requests run
    And the callers stop
    Then every caller has its own whole answer
    And no non-idempotent request runs twice

  Scenario: To the platform
    Given seed 26
    And fault proxies in front of each platform
    And a desk fleet of 2 routers, 1 replica and 4 slots
    When the connections to the platform go silent
    And an operator applies a change
    Then every process has that version within 30 s

  Scenario: From callers, in mid-stream
    Given seed 27
    And fault proxies in front of each router
    And a desk fleet of 1 router, 1 replica and 8 slots
    When 4 callers send streams of 20000 tokens with a deadline of 3000 ms
    And 4 requests run
    And the connections of callers to router 0 go silent
    Then within 6 s every run at the backend servers has ended

  Scenario: Between side processes
    Given seed 28
    And fault proxies in front of each side-process
    And a desk fleet of 2 routers, 3 replicas and 8 slots
    When 16 callers send keyed requests of 20 ms through router 0
    And the keyed callers have their answers
    And the connections between side processes go silent
    And 9000 ms pass
    And 16 callers send new keyed requests of 20 ms through router 1
    And 16 callers repeat their keys for 20 ms through router 1
    Then every caller has its own whole answer
    And no key runs twice
