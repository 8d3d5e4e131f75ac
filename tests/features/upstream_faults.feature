Feature: No fault of upstream VMs loses, duplicates, truncates or mixes up a request
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

    Examples: upstream VMs
      | fault                          | refused |
      | upstream connections go silent | 5       |
      | upstream VMs freeze            | 10      |
      | upstream VMs are slow          | 1       |
      | upstream VMs cut their answers | 20      |
      | upstream VMs lose answers      | 20      |
      | upstream VMs are down          | 1       |
      | upstream VMs reset connections | 5       |
      | upstream VMs are unreachable   | 5       |
