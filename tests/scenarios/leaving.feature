Feature: A leaving backend server receives no new work after 3 seconds

  Scenario: The side process announces it
    Given seed 41
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    When callers keep sending streams of 30 tokens, 12 at a time
    And 20 more requests run
    And side process 0 announces that it is leaving
    And 4000 ms pass
    And the callers stop
    Then backend server 0 starts no request over 3 s after leaving began
    And backend server 0 has run requests
    And every caller has its own whole answer

  Scenario: Only the instance list shows it
    Given seed 42
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    When callers keep sending streams of 30 tokens, 12 at a time
    And 20 more requests run
    And side process 0 is listed as leaving
    And 4000 ms pass
    And the callers stop
    Then backend server 0 starts no request over 3 s after leaving began
    And every caller has its own whole answer

  Scenario: The list lags and the side process is partitioned from routers
    Given seed 43
    And fault proxies in front of each side-process
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    And the instance list lags by 20000 ms
    When callers keep sending streams of 30 tokens, 12 at a time
    And 20 more requests run
    And the network path to side process 0 is partitioned
    And side process 0 announces that it is leaving
    And 1000 ms pass
    And the network path to side process 0 heals
    And 4000 ms pass
    And the callers stop
    Then backend server 0 starts no request over 3 s after leaving began
    And every caller has its own whole answer or a truthful failure
