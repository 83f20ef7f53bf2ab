Feature: The fairness gap stays bounded and no team starves

  Scenario: One team floods through one router, tokens metered
    Given seed 101
    And a desk fleet of 2 routers, 2 replicas and 2 slots
    When team 16 floods router 0 with 100 times its share for 8 s
    And 6 teams keep 2 requests waiting through router 1 for 8 s
    Then every request of those teams started within 5 s
    And the gap between any two teams that waited is under its bound
    And no caller has a wrong answer

  Scenario: One team floods through one router, completed requests metered
    Given seed 102
    And a shop fleet of 2 routers, 2 replicas and 2 slots
    When team 16 floods router 0 with 100 times its share for 8 s
    And 6 teams keep 2 requests waiting through router 1 for 8 s
    Then every request of those teams started within 5 s
    And the gap between any two teams that waited is under its bound
    And no caller has a wrong answer

  Scenario: A side process restarts without state under load
    Given seed 103
    And a desk fleet of 2 routers, 3 replicas and 2 slots
    When team 16 floods router 0 with 100 times its share for 10 s
    And 6 teams keep 2 requests waiting through router 1 for 10 s
    And 4000 ms pass
    And side process 0 is killed
    And side process 0 restarts
    Then every request of those teams started within 5 s
    And the gap between any two teams that waited is under its bound
    And no caller has a wrong answer

  Scenario: A side process is partitioned and reconnects
    Given seed 104
    And fault proxies in front of each side-process
    And a desk fleet of 2 routers, 3 replicas and 2 slots
    When team 16 floods router 0 with 100 times its share for 12 s
    And 6 teams keep 2 requests waiting through router 1 for 12 s
    And 2000 ms pass
    And the network path to side process 0 is partitioned
    And 4000 ms pass
    And the network path to side process 0 heals
    Then every request of those teams started within 5 s
    And the gap between any two teams that waited is under its bound
    And no caller has a wrong answer

  Scenario: The flooded router is paused and resumes
    Given seed 105
    And a desk fleet of 2 routers, 2 replicas and 2 slots
    When team 16 floods router 0 with 100 times its share for 10 s
    And 6 teams keep 2 requests waiting through router 1 for 10 s
    And 2000 ms pass
    And router 0 pauses
    And 4000 ms pass
    And router 0 resumes
    Then every request of those teams started within 5 s
    And no caller has a wrong answer

  Scenario: The flooded router alone is partitioned and reconnects
    Given seed 106
    And fault proxies in front of each side-process
    And a desk fleet of 2 routers, 3 replicas and 2 slots
    When team 16 floods router 0 with 100 times its share for 12 s
    And 6 teams keep 2 requests waiting through router 1 for 12 s
    And 2000 ms pass
    And router 0 is partitioned from every side process
    And 5000 ms pass
    And the network paths to all side processes heal
    Then every request of those teams started within 5 s
    And the gap between any two teams that waited is under its bound
    And no caller has a wrong answer
