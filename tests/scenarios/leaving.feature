Feature: A leaving backend server receives no new work after 3 seconds

  Scenario: The side process says so
    Given seed 41
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    When callers keep sending streams of 30 tokens, 12 at a time
    And 20 more requests run
    And side process 0 says that it leaves
    And 4000 ms pass
    And the callers stop
    Then backend server 0 gets no new work later than 3 s after
    And backend server 0 has run requests
    And every caller has its own whole answer

  Scenario: Only the instance list says so
    Given seed 42
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    When callers keep sending streams of 30 tokens, 12 at a time
    And 20 more requests run
    And side process 0 is listed as leaving
    And 4000 ms pass
    And the callers stop
    Then backend server 0 gets no new work later than 3 s after
    And every caller has its own whole answer

  Scenario: The list lags and the router is cut off from the side process
    Given seed 43
    And links in front of each side-process
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    And the instance list lags by 20000 ms
    When callers keep sending streams of 30 tokens, 12 at a time
    And 20 more requests run
    And the way to side process 0 is cut off
    And side process 0 says that it leaves
    And 1000 ms pass
    And the way to side process 0 heals
    And 4000 ms pass
    And the callers stop
    Then backend server 0 gets no new work later than 3 s after
    And every caller has its own whole answer or a truthful failure
