package org.zinniaspan.runner;

/**
 * The whole answer of a plain service.
 *
 * @param status HTTP status
 * @param contentType value of the Content-Type header, empty if there is none
 * @param body body
 */
public record ServiceResponse(int status, String contentType, byte[] body) {}
