Feature: A non-idempotent request runs at most once

  Scenario: Side processes are killed under load
    Given seed 31
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    When callers keep sending non-idempotent requests of 40 ms, 12 at a time
    And 40 more requests run
    And side process 2 is killed
    And side process 2 restarts
    And 40 more requests run
    And side process 3 is killed
    And side process 3 restarts
    And 40 more requests run
    And the callers stop
    Then no non-idempotent request runs twice
    And no request refused as not-run ever runs
    And every caller has its own whole answer or a truthful failure

  Scenario: Backend servers are killed under load
    Given seed 32
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    When callers keep sending non-idempotent requests of 40 ms, 12 at a time
    And 40 more requests run
    And backend server 2 is killed
    And 1000 ms pass
    And backend server 2 restarts
    And 40 more requests run
    And the callers stop
    Then no non-idempotent request runs twice
    And no request refused as not-run ever runs
    And every caller has its own whole answer or a truthful failure

  Scenario: A router is killed under load
    Given seed 33
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    When callers keep sending non-idempotent requests of 40 ms, 12 at a time
    And 40 more requests run
    And router 0 is killed
    And router 0 restarts
    And 40 more requests run
    And the callers stop
    Then no non-idempotent request runs twice
    And no request refused as not-run ever runs
    And no caller has a wrong answer

  Scenario: A side process is paused and resumes with outdated work
    Given seed 34
    And a desk fleet of 2 routers, 2 replicas and 4 slots
    When callers keep sending non-idempotent requests of 40 ms, 12 at a time
    And 40 more requests run
    And side process 2 pauses
    And 9000 ms pass
    And side process 2 resumes
    And 40 more requests run
    And the callers stop
    Then no non-idempotent request runs twice
    And no request refused as not-run ever runs
    And every caller has its own whole answer or a truthful failure

  Scenario: An availability zone is lost under load and comes back
    Given seed 35
    And a desk fleet of 3 routers, 4 replicas and 4 slots
    When 12 callers send keyed requests of 1500 ms through router 1
    And 12 requests run
    And callers keep sending non-idempotent requests of 40 ms, 6 at a time
    And 40 more requests run
    And availability zone 0 is lost
    And 17000 ms pass
    And 12 callers repeat their keys for 1500 ms through router 2
    And availability zone 0 comes back
    And every router reaches every side process
    And 40 more requests run
    And the callers stop
    Then every repeat gets the stored answer, still running or outcome unknown
    And no key runs twice
    And no non-idempotent request runs twice
    And no request refused as not-run ever runs
    And no caller has a wrong answer
