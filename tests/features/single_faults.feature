Feature: No fault of store or daemons loses, duplicates or truncates a request
  Partners send reads, surveys and payments through the balancer, and one fault
  lasts for a part of that time. Callers retry the requests that may be retried.
  Every call ends, each response is complete and belongs to its caller, a payment
  runs once, and requests that were refused as not run did not run.

  Scenario Outline: <fault>
    Given a running fleet
    When the partners send 240 mixed requests over 4 seconds
    And at 30 % <fault>
    And the faults end at 70 %
    Then every call ends
    And every guarantee holds
    And every repeatable request is answered
    And only requests affected by a fault end unknown
    And at most <refused> % are refused as not run

    Examples: the store
      | fault                             | refused |
      | the store goes down               | 1       |
      | the store resets connections      | 1       |
      | the store is unreachable          | 1       |
      | the store freezes                 | 1       |
      | the store is slow                 | 1       |
      | the store loses replies           | 3       |
      | the store's connections go silent | 1       |

    Examples: daemons
      | fault              | refused |
      | a daemon is killed | 5       |
      | a daemon is paused | 5       |
