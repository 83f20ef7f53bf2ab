Feature: A request that crashes servers crashes at most two

  Scenario: Its caller repeats it
    Given seed 91
    And a desk fleet of 2 routers, 4 replicas and 4 slots
    And crashed backend servers are restarted
    When callers keep sending streams of 40 tokens, 6 at a time
    And 20 more requests run
    And a caller sends a crashing request 8 times through alternating routers
    And 20 more requests run
    And the callers stop
    Then at most 2 backend servers have crashed
    And the last crashing request was refused at once as quarantined
    And every other caller has its own whole answer or a truthful failure
    And no request refused as not-run ever runs

  Scenario: Innocent requests batched with crashing ones are answered
    Given seed 92
    And a desk fleet of 2 routers, 4 replicas and 4 slots
    And crashed backend servers are restarted
    When 8 innocent callers ask for whole answers of 300 tokens
    And 8 requests run
    And a caller sends a new crashing request
    Then every innocent caller has its whole answer
    When 8 innocent callers ask for whole answers of 300 tokens
    And 8 more requests run
    And a caller sends a new crashing request
    Then every innocent caller has its whole answer
    When 8 innocent callers ask for whole answers of 300 tokens
    And 8 more requests run
    And a caller sends a new crashing request
    Then every innocent caller has its whole answer
    And at least 3 backend servers have crashed
    And no request refused as not-run ever runs
