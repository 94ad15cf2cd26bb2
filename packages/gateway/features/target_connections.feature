Feature: Connections to a target
  Connections are reused as far as the answer to a request can be told from copies of
  earlier answers, and their number stays small.

  Scenario: A request that comes back gets a connection that hasn't carried it
    Given connections to a target
    When the requests "a,b,a,c,b,a,b" follow one another
    Then they use the connections "1,1,2,2,2,3,3", of which 3 are open

  Scenario: A request that comes back again and again leaves few connections open
    Given connections to a target
    When the same request comes 20 times
    Then 4 connections are open

  Scenario: Requests without an id leave few connections open
    Given connections to a target
    When a request without an id comes 20 times
    Then 4 connections are open

  Scenario Outline: The memory for ids of requests is bounded
    Given connections to a target
    When <count> requests with ids of <length> characters follow one another
    Then they used <connections> connections

    Examples:
      | count | length | connections |
      | 256   | 16     | 1           |
      | 257   | 16     | 2           |
      | 8     | 4096   | 2           |

  Scenario: Connections that carried a refusal are closed while copies of answers arrive
    Given connections to a target
    When the requests "a,b" run side by side, and "a" is refused
    And a surplus answer arrives
    Then 1 connection is open
    When the request "c" is refused
    Then 0 connections are open

  Scenario: A limit on the idle time closes all connections that were idle for longer
    Given connections to a target
    When the requests "a,b,c" run side by side
    And 900 ms later an idle connection proved dead after 1000 ms
    Then the next request gets a new connection, and 1 connection is open
