"""pistachioshed: a layer-4 load balancer whose nodes share one table per service."""
