Feature: Replays of heavy load on the gateway's decisions
  A replay runs a load pattern on a simulated clock. "product" decides as the
  gateway does; the other names are variants that it is compared with. A caller
  is served in time if the answer arrives within the latency objective.

  Scenario: The same seed gives the same result
    Then pattern "burst" played twice with seed 3 gives the same figures

  Scenario: Home targets for objects let more callers be served in time
    When pattern "heavy" is played by "product" and by "no homes" with 3 seeds
    Then "product" serves at least 1.5 times as many in time

  Scenario: Keeping requests at home targets under full load serves more callers in time
    When pattern "heavy" is played by "product" and by "leave home targets at any load" with 3 seeds
    Then "product" serves at least 1.2 times as many in time

  Scenario: A region short of slots is served better when it starts with homes in other regions
    When pattern "restart" is played by "product" and by "no initial remote share" with 3 seeds
    Then in the worst-served region "product" serves at least 1.2 times as many in time

  Scenario: Remote shares change slowly under constant load
    When pattern "heavy" is played by "product" with 8 seeds
    Then no region moves more than 0.15 of its runs from one window to the next

  Scenario: Slot time of requests whose deadline passes counts as wasted
    When pattern "heavy" is played by "product" and by "no homes" with 3 seeds
    Then each wastes some of its slot time, and "no homes" more of it
