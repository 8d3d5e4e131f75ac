Feature: A partitioned zone continues to serve the requests that it can
  A zone loses its connections to all other zones, to the store and to the VM list.
  Its entry VM continues to serve reads from the VMs of its zone with the last known
  table, and refuses payments, since they cannot be claimed. The other zones are not
  affected. After the partition all zones agree again.

  Scenario: one zone is cut off for a while
    Given a running fleet
    When a zone is cut off
    Then 20 reads through daemon 1 are answered within 2 seconds each
    And 20 reads through daemon 3 are answered within 2 seconds each
    And a payment through daemon 1 is refused at once and does not run
    When the faults end
    And the partners send 120 mixed requests over 2 seconds
    Then every call ends
    And every repeatable request is answered
    And only requests affected by a fault end unknown
    And at most 2 % are refused as not run
    And every guarantee holds

  Scenario: requests are under way when the zone is cut off
    Given a running fleet
    When the partners send 300 mixed requests over 5 seconds
    And at 20 % a zone is cut off
    And the faults end at 70 %
    Then every call ends
    And every guarantee holds
    And every repeatable request is answered
    And only requests affected by a fault end unknown
    And at most 3 % are refused as not run
