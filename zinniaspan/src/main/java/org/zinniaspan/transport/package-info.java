/**
 * Non-blocking HTTP/1.1 connections: HttpCore's reactor and codecs, on one thread with one lock.
 */
package org.zinniaspan.transport;
