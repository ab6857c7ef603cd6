package org.zinniaspan.forwarding;

/**
 * A change to the set of evacuated availability zones.
 *
 * @param zone name of the availability zone
 * @param evacuated whether its evacuation was requested; false if the request was taken back
 * @param revision revision of the platform's store that the change led to
 */
public record ZoneEvacuation(String zone, boolean evacuated, StoreRevision revision) {}
