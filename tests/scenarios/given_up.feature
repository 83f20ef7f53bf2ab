Feature: A request that no backend server can run is refused promptly

  Scenario: No backend server is left
    Given seed 71
    And a desk fleet of 2 routers, 1 replica and 2 slots
    When side process 0 is killed
    And 3000 ms pass
    And 10 callers send streams of 10 tokens
    Then every refusal came within 1000 ms and has a retry-after header
    And no request refused as not-run ever runs

  Scenario: Requests wait when the last backend server is lost
    Given seed 72
    And a desk fleet of 1 router, 1 replica and 1 slot
    When 6 callers send streams of 3000 tokens
    And 1 request run
    And side process 0 is killed
    Then every refusal came within 8000 ms and has a retry-after header
    And no request refused as not-run ever runs
