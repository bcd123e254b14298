/**
 * A fault soak of the streaming proxy: node programs as separate processes, targets that
 * answer twice, fail, refuse and break off, callers that repeat identifiers, and a judge
 * that knows only what callers and targets saw.
 */
package org.eelgrasspitch.testkit.soak;
