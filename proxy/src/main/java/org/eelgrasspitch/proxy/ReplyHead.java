package org.eelgrasspitch.proxy;

import java.util.List;

import org.eelgrasspitch.mesh.HomeLoad;

/**
 * A target's answer without its body.
 *
 * @param status the status code
 * @param headers names and values in turn, without those that concern one connection
 * @param bodyLength length of the body, or {@link CallHead#CHUNKED}
 * @param load the home's load
 */
record ReplyHead(int status, List<String> headers, long bodyLength, HomeLoad load) {

}
