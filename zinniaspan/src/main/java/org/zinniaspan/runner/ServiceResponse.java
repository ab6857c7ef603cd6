package org.zinniaspan.runner;

/**
 * Complete HTTP response of a plain service.
 *
 * @param status HTTP status
 * @param contentType value of the Content-Type header, empty if there is none
 * @param body response body, empty if there is none
 */
public record ServiceResponse(int status, String contentType, byte[] body) {}
