package org.zinniaspan.forwarding;

/** The slots of endpoints that VMs assign each other, as far as this VM holds them. */
public interface AssignedSlots {

  /** No slots are assigned. */
  AssignedSlots NONE =
      new AssignedSlots() {
        @Override
        public boolean areRequired(ListedEndpoint endpoint) {
          return false;
        }

        @Override
        public long remainingMs(ListedEndpoint endpoint) {
          return 0;
        }

        @Override
        public void onSent(ListedEndpoint endpoint) {
          // Nothing to use.
        }

        @Override
        public void onWaiting(Object request, String service, int rank) {
          // Nothing to ask for.
        }
      };

  /** Returns whether a request to an endpoint needs a slot that is assigned to this VM. */
  boolean areRequired(ListedEndpoint endpoint);

  /**
   * Returns the expected time until this VM has an unused slot of an endpoint, in milliseconds; 0
   * if it has one.
   */
  long remainingMs(ListedEndpoint endpoint);

  /** Uses a slot of an endpoint for a request; it is free when the request has ended. */
  void onSent(ListedEndpoint endpoint);

  /**
   * Records that a request waits for a slot; called again for as long as it waits.
   *
   * @param rank rank of the request at endpoints; 0 is the most urgent
   */
  void onWaiting(Object request, String service, int rank);
}
