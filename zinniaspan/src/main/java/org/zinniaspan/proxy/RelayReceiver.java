package org.zinniaspan.proxy;

import org.apache.hc.core5.http.HttpRequest;
import org.zinniaspan.forwarding.InboundLimits;
import org.zinniaspan.transport.BufferBudget;
import org.zinniaspan.transport.InboundConnection;

/** Takes the requests of clients that other VMs relay to this one. */
interface RelayReceiver {

  /** Returns the limits on the requests of clients. */
  InboundLimits limits();

  /** Returns the budget for the body of a request. */
  BufferBudget bodyBudget(HttpRequest head);

  /** Refuses a relayed request whose body exceeds the budget. */
  void onRelayBudgetExhausted(InboundConnection connection, HttpRequest head);

  /** Handles a relayed request; the response goes to the VM that relays it. */
  void onRelayedRequest(InboundConnection connection, HttpRequest head, byte[] body);

  /** Called when the connection of a VM has ended. */
  void onDisconnect(InboundConnection connection);
}
