/**
 * Non-blocking HTTP/1.1 connections, built on HttpCore's reactor and codecs. One I/O thread and one
 * lock serve all connections.
 */
package org.zinniaspan.transport;
